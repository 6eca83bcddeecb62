package org.quetzalloom.core.relay.session

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.time.Timestamp

/** The versions of the sessions that this router has served of late, so that a session stays on its version. */
internal data class PinsState(
    val bySession: PersistentMap<String, VersionPin> = persistentMapOf(),
    val prunedAt: Timestamp = Timestamp.EPOCH,
) {
    /** Returns the state after a request of [session] at [version]. */
    fun touch(session: String, version: String, now: Timestamp): PinsState =
        copy(bySession = bySession.put(session, VersionPin(version, now)))

    /** Returns the pin of [session] if it was used in the last [timeToLiveMilliseconds], or `null`. */
    fun pinOrNull(session: String, timeToLiveMilliseconds: Long, now: Timestamp): VersionPin? =
        bySession[session]?.takeIf { now - it.usedAt <= timeToLiveMilliseconds }

    /** Returns the state without the pins that have not been used in the last [timeToLiveMilliseconds]. */
    fun prune(timeToLiveMilliseconds: Long, now: Timestamp): PinsState {
        if (now - prunedAt < PRUNE_INTERVAL_MILLISECONDS) return this
        val old = bySession.filterValues { now - it.usedAt > timeToLiveMilliseconds }.keys
        return PinsState(old.fold(bySession) { pins, session -> pins.remove(session) }, prunedAt = now)
    }

    private companion object {
        const val PRUNE_INTERVAL_MILLISECONDS = 1_000L
    }
}

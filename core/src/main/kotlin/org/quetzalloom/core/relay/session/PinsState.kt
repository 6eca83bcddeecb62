package org.quetzalloom.core.relay.session

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.time.Timestamp

/**
 * The software versions that have served the recent sessions at this router, so that a session can stay on its version.
 *
 * @property prunedAt when the pins were last pruned.
 */
internal data class PinsState(
    val bySession: PersistentMap<ServiceSession, VersionPin> = persistentMapOf(),
    val prunedAt: Timestamp = Timestamp.EPOCH,
) {
    /** Returns the state in which [session] is pinned to [version], last used at [now]. */
    fun touch(session: ServiceSession, version: String, now: Timestamp): PinsState =
        copy(bySession = bySession.put(session, VersionPin(version, now)))

    /** Returns the pin of [session], or `null` if it has none that was used in the last [timeToLiveMilliseconds]. */
    fun pinOrNull(session: ServiceSession, timeToLiveMilliseconds: Long, now: Timestamp): VersionPin? =
        bySession[session]?.takeIf { now - it.usedAt <= timeToLiveMilliseconds }

    /**
     * Returns the state without the pins that have not been used in the last [timeToLiveMilliseconds]. Does nothing if
     * the pins have just been pruned.
     */
    fun prune(timeToLiveMilliseconds: Long, now: Timestamp): PinsState {
        if (now - prunedAt < PRUNE_INTERVAL_MILLISECONDS) return this
        val old = bySession.filterValues { now - it.usedAt > timeToLiveMilliseconds }.keys
        return PinsState(old.fold(bySession) { pins, session -> pins.remove(session) }, prunedAt = now)
    }

    private companion object {
        const val PRUNE_INTERVAL_MILLISECONDS = 1_000L
    }
}

package org.quetzalloom.relay.caller

import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.time.Clock
import org.quetzalloom.core.time.Timestamp

/**
 * Bounds the memory of the responses that callers have not read. Confined to the event loop's thread.
 *
 * @param limitBytes the memory that they may take together. Above it, the callers that have read nothing for the
 *   longest time are dropped.
 */
internal class UnreadResponses(private val limitBytes: Long, private val clock: Clock) {
    /** The callers with unread bytes and since when they have read nothing, the longest time first. */
    private var silentSince = persistentMapOf<UnreadBytes, Timestamp>()

    /** The memory that all unread bytes take. */
    var usedBytes = 0L
        private set

    /** The number of callers that were dropped because they did not read. */
    var droppedCallers = 0L
        private set

    /** Whether callers with unread bytes get no more before they have read these. */
    val isScarce: Boolean get() = usedBytes > limitBytes / SCARCE_DIVISOR

    /** Handles that unread bytes of [caller] take [bytes] more. */
    fun onWritten(caller: UnreadBytes, bytes: Int) {
        usedBytes += bytes
        if (caller !in silentSince) silentSince = silentSince.put(caller, clock.now())
    }

    /** Handles that [caller] has taken [bytes], or has lost its connection. */
    fun onTaken(caller: UnreadBytes, bytes: Int) {
        usedBytes -= bytes
        silentSince = silentSince.remove(caller)
        if (caller.memoryBytes > 0) silentSince = silentSince.put(caller, clock.now())
    }

    /** Drops callers while the unread bytes of all take too much. */
    fun enforceLimit() {
        while (usedBytes > limitBytes) if (!dropLongestSilent(silentMilliseconds = 0)) return
    }

    /** Notes the time if [caller] has read a part of its unread bytes lately. */
    fun refresh(caller: UnreadBytes) {
        if (!caller.hasProgressed() || caller !in silentSince) return
        silentSince = silentSince.remove(caller).put(caller, clock.now())
    }

    /** Notes the time for all callers that have read a part of their unread bytes lately. */
    fun refresh(): Unit = silentSince.keys.forEach { refresh(it) }

    /**
     * Drops the caller that has read nothing for the longest time, if that is at least [silentMilliseconds]. Returns
     * whether there is one.
     */
    fun dropLongestSilent(silentMilliseconds: Long): Boolean {
        refresh()
        val caller = silentSince.keys.firstOrNull()?.takeIf { silentMilliseconds(it) >= silentMilliseconds }
            ?: return false
        silentSince = silentSince.remove(caller)
        usedBytes -= caller.memoryBytes
        droppedCallers++
        caller.drop()
        return true
    }

    private fun silentMilliseconds(caller: UnreadBytes): Long = clock.now() - silentSince.getValue(caller)

    private companion object {
        /** The share of the limit that leaves room for one more response of each caller that reads. */
        const val SCARCE_DIVISOR = 2
    }
}

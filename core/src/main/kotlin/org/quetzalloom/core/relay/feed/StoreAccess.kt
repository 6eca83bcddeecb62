package org.quetzalloom.core.relay.feed

import org.quetzalloom.core.time.Timestamp

/**
 * Whether the store answers this router, as the calls of all feeds tell together.
 *
 * @property failures the number of rounds of failed reads since the store last answered a call. Reads that were under
 *   way together are one round.
 * @property failedAt when the last read failed.
 * @property probeAt the earliest time of the next read while the store seems to be away.
 * @property readAt when this router last read a feed from the store.
 * @property delayMilliseconds how long the store last took to answer a call, beyond the time for which it may have
 *   waited for records.
 * @property checkedAt when this router last checked whether the store can be read.
 */
internal data class StoreAccess(
    val failures: Int = 0,
    val failedAt: Timestamp = Timestamp.EPOCH,
    val probeAt: Timestamp = Timestamp.EPOCH,
    val readAt: Timestamp = Timestamp.EPOCH,
    val checkedAt: Timestamp = Timestamp.EPOCH,
    val delayMilliseconds: Long = 0,
) {
    /** Whether the store does not seem to answer. A single failure may be a lost response. */
    val isAway: Boolean get() = failures > 1

    /** Returns the state after the store has answered a call. */
    fun answered(): StoreAccess = copy(failures = 0, failedAt = Timestamp.EPOCH, probeAt = Timestamp.EPOCH)

    /** Returns the state after a read that was sent at [sentAt] has failed at [now]. */
    fun failed(sentAt: Timestamp, now: Timestamp): StoreAccess = if (sentAt < failedAt) {
        this
    } else {
        copy(failures = failures + 1, failedAt = now, probeAt = sentAt + storePause(failures))
    }
}

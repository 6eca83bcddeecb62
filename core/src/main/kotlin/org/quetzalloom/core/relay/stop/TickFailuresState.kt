package org.quetzalloom.core.relay.stop

import org.quetzalloom.core.time.Timestamp

/**
 * The ticks that could not be reduced lately.
 *
 * @property count the number of failed ticks since the last one that succeeded.
 * @property since when the first of them failed, or `null` if the last tick succeeded.
 * @property endingSince when the process was asked to end because of them, or `null` if it was not.
 */
internal data class TickFailuresState(
    val count: Int = 0,
    val since: Timestamp? = null,
    val endingSince: Timestamp? = null,
) {
    /** Returns whether ticks have failed for so long, and so often, that no later one is expected to succeed. */
    fun isLasting(now: Timestamp): Boolean =
        count >= MINIMUM_COUNT && since?.let { now - it >= LASTING_MILLISECONDS } ?: false

    /** Returns this state after one more failed tick. */
    fun withFailure(now: Timestamp): TickFailuresState = copy(count = count + 1, since = since ?: now)

    private companion object {
        /** Below the time within which a change must be in force, so that nothing is decided by older orders. */
        const val LASTING_MILLISECONDS = 1_000L

        /** Failures before and after a pause of the process are no series. */
        const val MINIMUM_COUNT = 20
    }
}

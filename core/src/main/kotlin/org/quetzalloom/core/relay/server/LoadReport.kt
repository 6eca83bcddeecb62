package org.quetzalloom.core.relay.server

/**
 * The load that a backend server reports with its responses.
 *
 * Each number is at most a million, so that sums do not overflow.
 *
 * @property running the number of requests that the server works on.
 * @property waiting the number of requests in the server's queue.
 * @property slots the number of requests that the server can work on at once; at least 1.
 * @throws IllegalArgumentException if a number is out of range.
 */
public data class LoadReport(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
) {
    init {
        require(running in 0..MAXIMUM && waiting in 0..MAXIMUM && slots in 1..MAXIMUM) {
            "the load $running,$waiting,$slots is out of range"
        }
    }

    private companion object {
        const val MAXIMUM = 1_000_000
    }
}

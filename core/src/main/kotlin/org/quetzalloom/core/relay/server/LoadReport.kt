package org.quetzalloom.core.relay.server

/**
 * The load that a backend server reports with its responses.
 *
 * Each number is at most a million, so that sums do not overflow.
 *
 * @property running the number of requests that the server works on.
 * @property waiting the number of requests in the server's queue.
 * @property slots the number of requests that the server can work on at once; at least 1.
 * @property workDurationPercent how long work takes on the server's machine at the time of the report, in percent of
 *   the usual time; at least 1, or `null` if the server did not say.
 * @throws IllegalArgumentException if a number is out of range.
 */
public data class LoadReport(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val workDurationPercent: Int? = null,
) {
    init {
        require(running in 0..MAXIMUM && waiting in 0..MAXIMUM && slots in 1..MAXIMUM) {
            "the load $running,$waiting,$slots is out of range"
        }
        require(workDurationPercent == null || workDurationPercent in 1..MAXIMUM) {
            "the work duration $workDurationPercent is out of range"
        }
    }

    private companion object {
        const val MAXIMUM = 1_000_000
    }
}

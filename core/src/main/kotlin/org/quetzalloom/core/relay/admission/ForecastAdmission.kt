package org.quetzalloom.core.relay.admission

import org.quetzalloom.core.router.bucketOf

/**
 * Refuses a request at once if no backend server will be able to take it while it may wait, and names the time at which
 * one will be, spread over the callers so that they do not return together.
 *
 * While others wait, a workspace may have only so many requests waiting, and a caller that returns early has to let
 * them go first; each pays for its own excess.
 *
 * @property freeWaiting the number of requests that any workspace may have waiting.
 * @property fairShares the maximum number of requests that a workspace may have waiting beyond that, in multiples of an
 *   equal share among the workspaces that have any.
 * @property minimumMilliseconds the minimum time that is named to a caller.
 * @property spreadMilliseconds the span over which a single caller's return is spread.
 * @property spreadPerWaitingMilliseconds how much longer that span is for each request that waits.
 * @property maximumSpreadMilliseconds the maximum length of that span.
 */
public data class ForecastAdmission(
    public val freeWaiting: Int = 4,
    public val fairShares: Double = 1.5,
    public val minimumMilliseconds: Long = 100,
    public val spreadMilliseconds: Int = 250,
    public val spreadPerWaitingMilliseconds: Int = 20,
    public val maximumSpreadMilliseconds: Int = 2_000,
) : Admission {
    override fun mayWait(shortage: Shortage): Boolean =
        shortage.waitLeftMilliseconds > 0 &&
            (shortage.untilRoomMilliseconds ?: 0) <= shortage.waitLeftMilliseconds &&
            !(shortage.returnedEarly && shortage.waiting > 1) &&
            isWithinFairShare(shortage)

    override fun retryAfterMilliseconds(shortage: Shortage): Long {
        val spread = (spreadMilliseconds + spreadPerWaitingMilliseconds * shortage.waiting)
            .coerceAtMost(maximumSpreadMilliseconds)
        return maxOf(shortage.untilRoomMilliseconds ?: 0, minimumMilliseconds) + bucketOf(shortage.seed, spread)
    }

    private fun isWithinFairShare(shortage: Shortage): Boolean =
        shortage.waitingWorkspaces <= 1 ||
            shortage.waitingOfWorkspace <= maxOf(
                freeWaiting.toDouble(),
                fairShares * shortage.waiting / shortage.waitingWorkspaces,
            )
}

package org.quetzalloom.core.relay.server

import org.quetzalloom.core.router.bucketOf
import org.quetzalloom.core.router.stableHash

/**
 * Takes the backend server with the least work; but keeps requests that share a long part of their prompts at one of
 * them, while that has not much more work than the others.
 *
 * The servers of a shared part are ranked by a hash, so that routers agree without a message and few parts move when a
 * server comes or goes.
 *
 * @property minimumSharedTokens shorter parts are read again as quickly as they are found.
 * @property loadFactor how much more work than the mean a backend server may have before a part goes to its next one.
 * @property maximumSlowness candidates that take more than this many times as long as the median one are left out.
 * @property maximumFailureRate candidates with a larger share of failures are left out while others are there.
 */
public data class AffinityPlacement(
    public val minimumSharedTokens: Int = 512,
    public val loadFactor: Double = 1.5,
    public val maximumFailureRate: Double = 0.5,
    public val maximumSlowness: Double = 2.5,
) : Placement {
    override fun chooseOrNull(candidates: List<Candidate>, request: PlacementRequest): Candidate? {
        val healthy = candidates.filter { it.failureRate <= maximumFailureRate }.ifEmpty { candidates }.withoutSlow()
        val sharedPart = request.sharedPart?.takeIf { it.tokens >= minimumSharedTokens }
        return when {
            healthy.isEmpty() -> null
            request.work == 0L -> healthy.lessLoadedOfTwo(request)
            sharedPart == null -> healthy.leastWork(request)
            else -> healthy.withinBound(sharedPart.id, request)
        }
    }

    private fun List<Candidate>.withoutSlow(): List<Candidate> {
        if (isEmpty()) return this
        val median = map { it.slowness }.sorted()[(size - 1) / 2]
        return filter { it.slowness <= maximumSlowness * median }
    }

    private fun List<Candidate>.withinBound(partId: String, request: PlacementRequest): Candidate {
        val bound = loadFactor * (sumOf { it.pendingWork } + request.work) / size
        val ranked = sortedByDescending { stableHash(partId, it.server.value) }
        return ranked.firstOrNull { it.pendingWork <= bound && it.load < it.slots } ?: leastWork(request)
    }

    /** Among servers that seem equal the draw is random, so that routers do not all take the same. */
    private fun List<Candidate>.leastWork(request: PlacementRequest): Candidate =
        minWith(compareBy({ it.load >= it.slots }, { it.pendingWork }, { stableHash(request.seed, it.server.value) }))

    private fun List<Candidate>.lessLoadedOfTwo(request: PlacementRequest): Candidate {
        val first = this[bucketOf(request.seed, size)]
        val others = filter { it.server != first.server }
        if (others.isEmpty()) return first
        val second = others[bucketOf(request.seed + "/second", others.size)]
        return listOf(first, second).minWith(compareBy({ it.load }, { it.zone != request.zone }, { it.server }))
    }
}

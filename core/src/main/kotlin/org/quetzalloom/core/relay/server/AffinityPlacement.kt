package org.quetzalloom.core.relay.server

import org.quetzalloom.core.router.bucketOf
import org.quetzalloom.core.router.stableHash

/**
 * Chooses the backend server with the least pending work, but keeps requests that share a long part of their prompts on
 * one server, which has the part in its cache, unless that server has much more work than the others.
 *
 * The servers for a shared part are ranked by rendezvous hashing with bounded loads: routers agree on the ranking
 * without messages, and few parts move when a server comes or goes. Requests that are not for a model go to the less
 * loaded of two servers drawn at random; on a tie, to one in the router's own availability zone.
 *
 * @property minimumSharedTokens the length from which a shared part keeps its requests together; a server reads shorter
 *   parts again as quickly as it finds them in its cache.
 * @property loadFactor the bound on a server's work, in multiples of the mean with the new request included; above it,
 *   or without a free slot, a shared part goes to the next server of its ranking. If no server qualifies, the one with
 *   the least pending work gets it.
 * @property maximumFailureRate candidates with a higher failure rate are left out, unless all have one.
 * @property maximumSlowness candidates slower than this many times the median slowness are left out.
 */
public data class AffinityPlacement(
    public val minimumSharedTokens: Int = 512,
    public val loadFactor: Double = 1.5,
    public val maximumFailureRate: Double = 0.5,
    public val maximumSlowness: Double = 2.5,
) : Placement {
    override fun chooseOrNull(candidates: List<Candidate>, request: PlacementRequest): Candidate? {
        val healthy = healthy(candidates)
        val sharedPart = request.sharedPart?.takeIf { it.tokens >= minimumSharedTokens }
        return when {
            healthy.isEmpty() -> null
            request.work == 0L -> healthy.lessLoadedOfTwo(request)
            sharedPart == null -> healthy.leastWork(request)
            else -> healthy.withinBound(sharedPart.id, request)
        }
    }

    /** Returns the [candidates] that neither fail often nor are slow, or all if there are no others. */
    internal fun healthy(candidates: List<Candidate>): List<Candidate> =
        candidates.filter { it.failureRate <= maximumFailureRate }.ifEmpty { candidates }.withoutSlow()

    private fun List<Candidate>.withoutSlow(): List<Candidate> {
        if (all { it.slowness == 1.0 }) return this
        val median = map { it.slowness }.sorted()[(size - 1) / 2]
        return filter { it.slowness <= maximumSlowness * median }
    }

    private fun List<Candidate>.withinBound(partId: String, request: PlacementRequest): Candidate {
        val bound = loadFactor * (sumOf { it.pendingWork } + request.work) / size
        return filter { it.pendingWork <= bound && it.load < it.slots }
            .maxByOrNull { stableHash(partId, it.server.value) }
            ?: leastWork(request)
    }

    /**
     * Returns the candidate with the least pending work, among those with a free slot if there are any. Ties are broken
     * by a hash of the seed, so that not all routers choose the same server.
     */
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

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
 * @property longPartTokens shorter parts are read again as quickly as they are found.
 * @property spread how much more work than the mean a backend server may have before a part goes to its next one.
 * @property mostSlow candidates that take more than this many times as long as the median one are left out.
 * @property mostFailing candidates with a larger share of failures are left out while others are there.
 */
public data class AffinityPlacement(
    public val longPartTokens: Int = 512,
    public val spread: Double = 1.5,
    public val mostFailing: Double = 0.5,
    public val mostSlow: Double = 2.5,
) : Placement {
    override fun chooseOrNull(candidates: List<Candidate>, request: PlacementRequest): Candidate? {
        val sound = candidates.filter { it.failing <= mostFailing }.ifEmpty { candidates }.withoutSlow()
        val subject = request.subject?.takeIf { it.tokens >= longPartTokens }
        return when {
            sound.isEmpty() -> null
            request.work == 0L -> sound.lessLoadedOfTwo(request)
            subject == null -> sound.leastWork(request)
            else -> sound.bounded(subject.id, request)
        }
    }

    private fun List<Candidate>.withoutSlow(): List<Candidate> {
        if (isEmpty()) return this
        val median = map { it.slowness }.sorted()[(size - 1) / 2]
        return filter { it.slowness <= mostSlow * median }
    }

    private fun List<Candidate>.bounded(subject: String, request: PlacementRequest): Candidate {
        val bound = spread * (sumOf { it.work } + request.work) / size
        val ranked = sortedByDescending { stableHash(subject, it.server.value) }
        return ranked.firstOrNull { it.work <= bound && it.load < it.slots } ?: leastWork(request)
    }

    /** Among servers that seem equal the draw is random, so that routers do not all take the same. */
    private fun List<Candidate>.leastWork(request: PlacementRequest): Candidate =
        minWith(compareBy({ it.load >= it.slots }, { it.work }, { stableHash(request.seed, it.server.value) }))

    private fun List<Candidate>.lessLoadedOfTwo(request: PlacementRequest): Candidate {
        val first = this[bucketOf(request.seed, size)]
        val others = filter { it.server != first.server }
        if (others.isEmpty()) return first
        val second = others[bucketOf(request.seed + "/second", others.size)]
        return listOf(first, second).minWith(compareBy({ it.load }, { it.zone != request.zone }, { it.server }))
    }
}

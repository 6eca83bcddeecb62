package org.quetzalloom.core.relay.server

import org.quetzalloom.core.router.bucketOf
import org.quetzalloom.core.router.stableHash

/**
 * Keeps requests of one subject at one backend server while its load is bounded; draws two for all others and takes the
 * one with less load.
 *
 * The servers of a subject are ranked by a hash, so that routers agree without a message and few subjects move when a
 * server comes or goes.
 *
 * @property spread how much more than the mean a backend server may have before a subject goes to its next one.
 * @property mostFailing candidates with a larger share of failures are left out while others are there.
 */
public data class AffinityPlacement(
    public val spread: Double = 1.5,
    public val mostFailing: Double = 0.5,
) : Placement {
    override fun chooseOrNull(candidates: List<Candidate>, request: PlacementRequest): Candidate? {
        val sound = candidates.filter { it.failing <= mostFailing }.ifEmpty { candidates }
        val subject = request.subject
        return when {
            sound.isEmpty() -> null
            subject == null -> sound.lessLoadedOfTwo(request)
            else -> sound.bounded(subject)
        }
    }

    private fun List<Candidate>.bounded(subject: String): Candidate {
        val own = sumOf { it.inFlight }
        val bound = spread * (own + 1) / size + 1
        val ranked = sortedByDescending { stableHash(subject, it.server.value) }
        return ranked.firstOrNull { it.inFlight < bound && it.load < it.slots } ?: minBy { it.load }
    }

    private fun List<Candidate>.lessLoadedOfTwo(request: PlacementRequest): Candidate {
        val first = this[bucketOf(request.seed, size)]
        val others = filter { it.server != first.server }
        if (others.isEmpty()) return first
        val second = others[bucketOf(request.seed + "/second", others.size)]
        return listOf(first, second).minWith(compareBy({ it.load }, { it.zone != request.zone }, { it.server }))
    }
}

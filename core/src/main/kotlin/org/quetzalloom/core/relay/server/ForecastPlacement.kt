package org.quetzalloom.core.relay.server

import org.quetzalloom.core.router.bucketOf
import org.quetzalloom.core.router.stableHash

/**
 * Chooses the backend server at which a response is expected to be complete first, from how long work takes at each.
 *
 * Requests that share a long part of their prompts keep to one home, which is ranked by weighted rendezvous hashing
 * with bounded loads, so that faster servers are home to more parts, and a part whose home is too busy has a second
 * one. Long prompts mostly share parts; that they queue at homes leaves idle servers to the short ones.
 *
 * A prompt slows down all requests on its server, so the more run there, the later its end counts as.
 *
 * Reports of load are old when they arrive, and all routers read the same ones. Servers whose forecasts are almost the
 * same are therefore chosen by a hash of the request.
 *
 * @property uniform chooses while no server tells how long work takes.
 * @property nearFactor forecasts within this factor of the best one count as the same.
 */
public data class ForecastPlacement(
    public val uniform: AffinityPlacement = AffinityPlacement(),
    public val nearFactor: Double = 1.15,
) : Placement {
    override fun chooseOrNull(candidates: List<Candidate>, request: PlacementRequest): Candidate? {
        val healthy = uniform.healthy(candidates)
        val shortest = healthy.minOfOrNull { it.workDuration ?: Double.MAX_VALUE }
        return if (shortest == null || shortest == Double.MAX_VALUE) {
            uniform.chooseOrNull(candidates, request)
        } else {
            Choice(healthy, request, shortest).choose()
        }
    }

    /** One choice among [candidates], of which the fastest needs [shortest] times the usual duration for work. */
    private inner class Choice(
        private val candidates: List<Candidate>,
        private val request: PlacementRequest,
        private val shortest: Double,
    ) {
        fun choose(): Candidate = if (request.work == 0L) lessLoadedOfTwo() else homeOrSoonest()

        private fun homeOrSoonest(): Candidate {
            val sharedPart = request.sharedPart?.takeIf { it.tokens >= uniform.minimumSharedTokens }
            return sharedPart?.let { homeOrNull(it.id) } ?: soonest()
        }

        /** A server that has not told its duration yet is taken to be as fast as any, so that it is tried soon. */
        private val Candidate.duration: Double get() = workDuration ?: minOf(shortest, 1.0)

        private val Candidate.isFree: Boolean get() = load < slots

        /** The expected end of the response, in units of work at the usual duration. */
        private val Candidate.end: Double
            get() = duration * (pendingWork + (request.work + request.generationWork) * (1 + load.toDouble() / slots))

        private fun soonest(): Candidate {
            val free = candidates.filter { it.isFree }.ifEmpty { candidates }
            val limit = free.minOf { it.end } * nearFactor
            return free.filter { it.end <= limit }.minBy { stableHash(request.seed, it.server.value) }
        }

        private fun homeOrNull(partId: String): Candidate? {
            val weights = candidates.sumOf { it.weight }
            val bound = uniform.loadFactor * (candidates.sumOf { it.pendingWork } + request.work) / weights
            return candidates.filter { it.isFree && it.pendingWork <= bound * it.weight }
                .maxByOrNull { it.rank(partId) }
        }

        /** The share of parts at home on the server, relative to that of the fastest one. */
        private val Candidate.weight: Double
            get() = (shortest / duration).let { it * it * it }

        private fun Candidate.rank(partId: String): Double {
            val point = (stableHash(partId, server.value) ushr HASH_BITS_DROPPED) + 1.0
            return weight / -Math.log(point / POINTS)
        }

        private fun lessLoadedOfTwo(): Candidate {
            val first = candidates[bucketOf(request.seed, candidates.size)]
            val others = candidates.filter { it.server != first.server }
            if (others.isEmpty()) return first
            val second = others[bucketOf(request.seed + "/second", others.size)]
            return listOf(first, second)
                .minWith(compareBy({ (it.load + 1) * it.duration }, { it.zone != request.zone }, { it.server }))
        }
    }

    private companion object {
        /** As many bits as a Double holds exactly are kept. */
        const val HASH_BITS_DROPPED = 12

        /** More than the highest point, so that the logarithm of a share is never 0. */
        const val POINTS = (1L shl Long.SIZE_BITS - HASH_BITS_DROPPED) + 2.0
    }
}

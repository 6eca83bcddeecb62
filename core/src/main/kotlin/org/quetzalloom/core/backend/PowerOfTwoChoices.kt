package org.quetzalloom.core.backend

/**
 * Draws two candidates at random and chooses the one with the lower load, with a penalty for other availability zones.
 *
 * @property crossZonePenalty the load, as a share of capacity, that is added to a candidate in another zone before
 *   the two are compared.
 */
public data class PowerOfTwoChoices(public val crossZonePenalty: Double = 0.3) : ServerChoice {
    override fun choose(candidates: List<ServerCandidate>, seed: Long): ServerCandidate {
        val first = candidates[index(seed, candidates.size)]
        val others = candidates.filter { it.server != first.server }
        if (others.isEmpty()) return first
        val second = others[index(seed ushr Int.SIZE_BITS, others.size)]
        return listOf(first, second).minWith(compareBy({ it.score() }, { it.server }))
    }

    private fun ServerCandidate.score(): Double = if (sameZone) load else load + crossZonePenalty

    private fun index(seed: Long, size: Int): Int = Math.floorMod(seed, size.toLong()).toInt()
}

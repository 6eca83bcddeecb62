package org.quetzalloom.core.backend

/**
 * Draws two candidates and takes the one with less load, where another availability zone counts as some load.
 *
 * @property otherZoneLoad the load, as a share of capacity, that a backend server in the VM's own availability
 *   zone may have more than one elsewhere and still be preferred.
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

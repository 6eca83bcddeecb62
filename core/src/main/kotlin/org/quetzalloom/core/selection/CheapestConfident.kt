package org.quetzalloom.core.selection

import org.quetzalloom.core.configuration.Version

/**
 * Chooses the cheapest version whose quality is confidently at or above the target. If there is none, chooses the
 * version with the highest lower confidence bound.
 *
 * A small share of requests explores: it runs on a cheaper version whose upper confidence bound reaches the target.
 * Otherwise a version with a low expected quality would never be rated.
 *
 * @property deviations the half-width of the confidence interval, in standard errors.
 * @property explorationPermille the requests per thousand that explore.
 */
public data class CheapestConfident(
    public val deviations: Double = 1.0,
    public val explorationPermille: Int = 100,
) : VersionChoice {
    override fun choose(options: List<VersionOption>, qualityTarget: Double, seed: Long): Version {
        val preferred = preferred(options, qualityTarget)
        val explores = Math.floorMod(seed, PERMILLE) < explorationPermille
        return if (explores) explorationCandidateOrNull(options, preferred, qualityTarget) ?: preferred else preferred
    }

    private fun preferred(options: List<VersionOption>, qualityTarget: Double): Version {
        val confident = options.filter { it.lowerBound() >= qualityTarget }
        val chosen = confident.minWithOrNull(compareBy({ it.version.costMicros }, { it.version.id }))
            ?: options.maxWith(compareBy<VersionOption> { it.lowerBound() }.thenByDescending { it.version.id })
        return chosen.version
    }

    /** Returns the version with the fewest ratings among those that are cheaper and may reach the target, or `null`. */
    private fun explorationCandidateOrNull(
        options: List<VersionOption>,
        preferred: Version,
        qualityTarget: Double,
    ): Version? = options
        .filter { it.version.costMicros < preferred.costMicros && it.upperBound() >= qualityTarget }
        .minWithOrNull(compareBy({ it.estimate.rated }, { it.version.id }))
        ?.version

    private fun VersionOption.lowerBound(): Double = estimate.lowerBound(version.expectedQuality, deviations)

    private fun VersionOption.upperBound(): Double = estimate.upperBound(version.expectedQuality, deviations)

    private companion object {
        const val PERMILLE = 1_000L
    }
}

package org.quetzalloom.core.selection

import org.quetzalloom.core.configuration.Version

/**
 * Takes the cheapest version whose quality is above the target with confidence, or the best one where none is.
 *
 * A small share of requests tries a cheaper version that may be good enough for all that is known, so that a version
 * about which little was expected gets its ratings.
 *
 * @property deviations the width of the confidence interval, in standard deviations each way.
 * @property explorationPermille the requests per thousand that try such a version.
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

    /** Returns the least rated of the cheaper versions that may be above the target. */
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

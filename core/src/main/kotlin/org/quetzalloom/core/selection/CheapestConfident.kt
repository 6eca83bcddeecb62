package org.quetzalloom.core.selection

import org.quetzalloom.core.configuration.Version

/**
 * Takes the cheapest version whose quality is above the target with confidence, or the best one where none is.
 *
 * @property deviations the width of the confidence interval, in standard deviations each way.
 */
public data class CheapestConfident(public val deviations: Double = 1.0) : VersionChoice {
    override fun choose(options: List<VersionOption>, qualityTarget: Double): Version {
        val confident = options.filter { it.lowerBound() >= qualityTarget }
        val chosen = confident.minWithOrNull(compareBy({ it.version.costMicros }, { it.version.id }))
            ?: options.maxWith(compareBy<VersionOption> { it.lowerBound() }.thenByDescending { it.version.id })
        return chosen.version
    }

    private fun VersionOption.lowerBound(): Double = estimate.lowerBound(version.expectedQuality, deviations)
}

package org.quetzalloom.core.rollout

import org.quetzalloom.core.configuration.Rollout

/**
 * Raises the share of the new version in stages.
 *
 * The next stage begins once the new version has the ratings that the current stage requires and is confidently not
 * worse than the old version by more than [margin]. The roll-out is aborted as soon as the new version is confidently
 * worse than that.
 *
 * @property deviations the half-width of the confidence interval, in standard errors.
 * @property margin the accepted loss of quality, as a share of answers.
 */
public data class SteppedRolloutPolicy(
    public val deviations: Double = 1.64,
    public val margin: Double = 0.05,
) : RolloutPolicy {
    override fun decide(rollout: Rollout, evidence: RolloutEvidence): RolloutDecision {
        val stage = stages.lastOrNull { it.sharePermille <= rollout.sharePermille } ?: stages.first()
        val next = stages.firstOrNull { it.sharePermille > rollout.sharePermille }
        return when {
            isWorse(evidence) -> RolloutDecision.Abort
            next == null || evidence.toEstimate.rated < stage.requiredRatings -> RolloutDecision.Keep
            isGood(evidence) -> RolloutDecision.Share(next.sharePermille)
            else -> RolloutDecision.Keep
        }
    }

    private fun isWorse(evidence: RolloutEvidence): Boolean =
        evidence.toEstimate.rated >= MINIMUM_RATINGS &&
            evidence.toEstimate.upperBound(evidence.to.expectedQuality, deviations) < evidence.minimumQuality()

    private fun isGood(evidence: RolloutEvidence): Boolean =
        evidence.toEstimate.lowerBound(evidence.to.expectedQuality, deviations) >= evidence.minimumQuality()

    private fun RolloutEvidence.minimumQuality(): Double = fromEstimate.mean(from.expectedQuality) - margin

    /**
     * One stage of a roll-out.
     *
     * @property sharePermille the requests per thousand that go to the new version.
     * @property requiredRatings the ratings of the new version that the next stage requires.
     */
    private data class Stage(val sharePermille: Int, val requiredRatings: Long)

    private companion object {
        /** The ratings of the new version below which a roll-out is not aborted. */
        const val MINIMUM_RATINGS = 10L

        val stages = listOf(
            Stage(sharePermille = 10, requiredRatings = 20),
            Stage(sharePermille = 50, requiredRatings = 60),
            Stage(sharePermille = 200, requiredRatings = 150),
            Stage(sharePermille = 500, requiredRatings = 300),
            Stage(sharePermille = Rollout.FULL_SHARE_PERMILLE, requiredRatings = 0),
        )
    }
}

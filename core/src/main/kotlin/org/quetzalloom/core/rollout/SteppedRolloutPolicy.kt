package org.quetzalloom.core.rollout

import org.quetzalloom.core.configuration.Rollout

/**
 * Raises the share step by step, each step only once enough answers of the new version were rated and they are,
 * with confidence, not worse than those of the old one by more than a margin; falls back to the old version as
 * soon as they are, with confidence, worse.
 *
 * @property deviations the width of the confidence interval, in standard deviations each way.
 * @property margin the loss of quality that is accepted, as a share of answers.
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

    private data class Stage(val sharePermille: Int, val requiredRatings: Long)

    private companion object {
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

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
public data class RatedSteps(
    public val deviations: Double = 1.64,
    public val margin: Double = 0.05,
) : RolloutPolicy {
    override fun decide(rollout: Rollout, evidence: RolloutEvidence): RolloutDecision {
        val step = steps.lastOrNull { it.sharePermille <= rollout.sharePermille } ?: steps.first()
        val next = steps.firstOrNull { it.sharePermille > rollout.sharePermille }
        return when {
            isWorse(evidence) -> RolloutDecision.Abort
            next == null || evidence.toEstimate.rated < step.ratings -> RolloutDecision.Keep
            isGood(evidence) -> RolloutDecision.Share(next.sharePermille)
            else -> RolloutDecision.Keep
        }
    }

    private fun isWorse(evidence: RolloutEvidence): Boolean =
        evidence.toEstimate.rated >= FEWEST_RATINGS &&
            evidence.toEstimate.upperBound(evidence.to.expectedQuality, deviations) < evidence.leastQuality()

    private fun isGood(evidence: RolloutEvidence): Boolean =
        evidence.toEstimate.lowerBound(evidence.to.expectedQuality, deviations) >= evidence.leastQuality()

    private fun RolloutEvidence.leastQuality(): Double = fromEstimate.mean(from.expectedQuality) - margin

    private data class Step(val sharePermille: Int, val ratings: Long)

    private companion object {
        const val FEWEST_RATINGS = 10L

        val steps = listOf(
            Step(sharePermille = 10, ratings = 20),
            Step(sharePermille = 50, ratings = 60),
            Step(sharePermille = 200, ratings = 150),
            Step(sharePermille = 500, ratings = 300),
            Step(sharePermille = Rollout.FULL_SHARE_PERMILLE, ratings = 0),
        )
    }
}

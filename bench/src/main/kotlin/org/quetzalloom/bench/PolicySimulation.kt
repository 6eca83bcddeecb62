package org.quetzalloom.bench

import kotlinx.serialization.Serializable
import org.quetzalloom.core.configuration.Version
import org.quetzalloom.core.configuration.VersionKind
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.selection.QualityEstimate
import org.quetzalloom.core.selection.VersionChoice
import org.quetzalloom.core.selection.VersionOption
import kotlin.random.Random

/** A version with its true [quality], the share of good answers, which policies do not see. */
internal data class SimulatedVersion(val version: Version, val quality: Double) {
    companion object {
        /** Returns a version with the ID [name], of the form `model@number`. */
        fun of(name: String, costMicros: Long, expectedQuality: Double, quality: Double) = SimulatedVersion(
            Version(VersionId(name), name.substringBefore('@'), VersionKind.ENGINE, costMicros, expectedQuality),
            quality,
        )
    }
}

/**
 * The result of a policy over the second half of the requests; the first half is for learning.
 *
 * @property good the share of answers that were good.
 * @property cost the cost, relative to that of the cheapest version whose true quality meets the target.
 * @property exposed the share of requests that ran on a version whose true quality is below the target.
 */
@Serializable
internal data class PolicyResult(
    val policy: String,
    val qualityTarget: Double,
    val good: Double,
    val cost: Double,
    val exposed: Double,
)

/**
 * Simulates the requests of one workspace, with versions chosen by a policy.
 *
 * One answer in ten is sampled, one sample in ten is never rated, and a rating arrives 200 requests after its sample.
 * Every request draws the same number of random numbers, so that policies with the same [seed] see the same input.
 */
internal class PolicySimulation(
    private val versions: List<SimulatedVersion>,
    private val qualityTarget: Double,
    private val seed: Long,
) {
    private data class PendingRating(val dueAt: Int, val version: VersionId, val good: Boolean)

    /** Returns the result of [policy], which is called [name] in it. */
    fun run(name: String, policy: VersionChoice): PolicyResult {
        val random = Random(seed)
        var estimates = versions.associate { it.version.id to QualityEstimate() }
        var pending = emptyList<PendingRating>()
        val answers = (0 until REQUESTS).map { number ->
            val due = pending.takeWhile { it.dueAt <= number }
            pending = pending.drop(due.size)
            estimates = due.fold(estimates) { current, rated ->
                current + (rated.version to current.updatedEstimate(rated))
            }
            val options = versions.map { VersionOption(it.version, estimates.getValue(it.version.id)) }
            val chosen = policy.choose(options, qualityTarget, random.nextLong())
            val simulatedVersion = versions.first { it.version.id == chosen.id }
            val good = random.nextDouble() < simulatedVersion.quality
            val isRated = random.nextDouble() < SAMPLE_SHARE * (1 - MISSING_SHARE)
            if (isRated) pending = pending + PendingRating(number + LAG_REQUESTS, chosen.id, good)
            simulatedVersion to good
        }
        return result(name, answers.drop(REQUESTS / 2))
    }

    private fun Map<VersionId, QualityEstimate>.updatedEstimate(rated: PendingRating): QualityEstimate =
        getValue(rated.version) + QualityEstimate(good = if (rated.good) 1 else 0, rated = 1)

    private fun result(name: String, answers: List<Pair<SimulatedVersion, Boolean>>): PolicyResult {
        val cheapestCost = versions.filter { it.quality >= qualityTarget }.minOf { it.version.costMicros }
        return PolicyResult(
            policy = name,
            qualityTarget = qualityTarget,
            good = answers.count { it.second }.toDouble() / answers.size,
            cost = answers.sumOf { it.first.version.costMicros }.toDouble() / (cheapestCost * answers.size),
            exposed = answers.count { it.first.quality < qualityTarget }.toDouble() / answers.size,
        )
    }

    private companion object {
        const val REQUESTS = 44_000
        const val SAMPLE_SHARE = 0.1
        const val MISSING_SHARE = 0.1
        const val LAG_REQUESTS = 200
    }
}

package org.quetzalloom.bench

import kotlinx.serialization.Serializable
import org.quetzalloom.core.configuration.Version
import org.quetzalloom.core.configuration.VersionKind
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.selection.QualityEstimate
import org.quetzalloom.core.selection.VersionChoice
import org.quetzalloom.core.selection.VersionOption
import kotlin.random.Random

/** A version with the quality that nobody is told. */
internal data class TrueVersion(val version: Version, val quality: Double) {
    companion object {
        /** Returns a version named [name] that costs [costMicros]. */
        fun of(name: String, costMicros: Long, expectedQuality: Double, quality: Double) = TrueVersion(
            Version(VersionId(name), name.substringBefore('@'), VersionKind.ENGINE, costMicros, expectedQuality),
            quality,
        )
    }
}

/**
 * What a policy came to, over the second half of the requests.
 *
 * @property good the share of answers that were good.
 * @property cost the cost, as a multiple of that of the cheapest version which is good enough.
 * @property exposed the share of requests that ran on a version below the target.
 */
@Serializable
internal data class SelectionResult(
    val policy: String,
    val qualityTarget: Double,
    val good: Double,
    val cost: Double,
    val exposed: Double,
)

/**
 * Runs one workspace's requests through a policy: one answer in ten is sampled, one sample in ten is never rated, and
 * ratings come late.
 */
internal class SelectionTrial(
    private val versions: List<TrueVersion>,
    private val qualityTarget: Double,
    private val seed: Long,
) {
    private data class Rated(val at: Int, val version: VersionId, val good: Boolean)

    /** Returns what [policy] came to. */
    fun run(name: String, policy: VersionChoice): SelectionResult {
        val random = Random(seed)
        var estimates = versions.associate { it.version.id to QualityEstimate() }
        var pending = emptyList<Rated>()
        val served = (0 until REQUESTS).map { number ->
            val due = pending.takeWhile { it.at <= number }
            pending = pending.drop(due.size)
            estimates = due.fold(estimates) { known, rated -> known + (rated.version to known.after(rated)) }
            val options = versions.map { VersionOption(it.version, estimates.getValue(it.version.id)) }
            val chosen = policy.choose(options, qualityTarget, random.nextLong())
            val truth = versions.first { it.version.id == chosen.id }
            val good = random.nextDouble() < truth.quality
            val rated = random.nextDouble() < SAMPLED * (1 - MISSING)
            if (rated) pending = pending + Rated(number + LAG_REQUESTS, chosen.id, good)
            truth to good
        }
        return summary(name, served.drop(REQUESTS / 2))
    }

    private fun Map<VersionId, QualityEstimate>.after(rated: Rated): QualityEstimate =
        getValue(rated.version) + QualityEstimate(good = if (rated.good) 1 else 0, rated = 1)

    private fun summary(name: String, served: List<Pair<TrueVersion, Boolean>>): SelectionResult {
        val best = versions.filter { it.quality >= qualityTarget }.minOf { it.version.costMicros }
        return SelectionResult(
            policy = name,
            qualityTarget = qualityTarget,
            good = served.count { it.second }.toDouble() / served.size,
            cost = served.sumOf { it.first.version.costMicros }.toDouble() / (best * served.size),
            exposed = served.count { it.first.quality < qualityTarget }.toDouble() / served.size,
        )
    }

    private companion object {
        const val REQUESTS = 44_000
        const val SAMPLED = 0.1
        const val MISSING = 0.1
        const val LAG_REQUESTS = 200
    }
}

package org.quetzalloom.core.relay.model

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * How much more confident models have been than others in their responses to the same requests.
 *
 * @property means the mean gain of confidence of each pair of models, in points.
 */
public data class ConfidenceGains(public val means: PersistentMap<ModelPair, Double> = persistentMapOf()) {
    /** Returns the expected gain of confidence of the second model of [models]; [INITIAL_GAIN] before any sample. */
    public fun expected(models: ModelPair): Double = means[models] ?: INITIAL_GAIN

    /**
     * Returns the gains after the second model of [models] had the confidence [after] in its response to a request in
     * which the first one had the confidence [before]. The ends of the scale are left out, as they hide the difference.
     */
    public fun record(models: ModelPair, before: Int, after: Int): ConfidenceGains {
        if (before !in MEASURED || after !in MEASURED) return this
        val mean = expected(models)
        return ConfidenceGains(means.put(models, mean + (after - before - mean) * LATEST_WEIGHT))
    }

    private companion object {
        val MEASURED = 1..99

        /** High enough for the next model to be tried, from which its gain is learned. */
        const val INITIAL_GAIN = 10.0
        const val LATEST_WEIGHT = 0.1
    }
}

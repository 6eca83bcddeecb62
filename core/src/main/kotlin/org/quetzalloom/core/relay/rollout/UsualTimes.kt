package org.quetzalloom.core.relay.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.quetzalloom.core.relay.routing.ServiceName

/** How long the stages of responses usually take, by what that depends on. Learned from versions in regular use. */
internal data class UsualTimes(private val means: PersistentMap<Key, Mean> = persistentHashMapOf()) {
    /** What usual times depend on; the properties are those of [Timing]. */
    internal data class Key(val service: ServiceName, val stage: TimedStage, val route: String?, val loadClass: Int)

    /** A geometric mean as the [count] of its values and the sum of their natural logarithms. */
    internal data class Mean(val count: Double = 0.0, val logSum: Double = 0.0) {
        val value: Double get() = Math.exp(logSum / count)

        fun record(milliseconds: Double): Mean {
            val kept = if (count >= MAXIMUM_COUNT) HALF else 1.0
            return Mean(count * kept + 1, logSum * kept + Math.log(milliseconds.coerceAtLeast(1.0)))
        }
    }

    /** Returns the usual times after [timing] has been observed. */
    fun record(timing: Timing): UsualTimes {
        val key = timing.key(timing.loadClass)
        return copy(means = means.put(key, (means[key] ?: Mean()).record(timing.milliseconds)))
    }

    /**
     * Returns the usual time for [timing] in milliseconds. If too few were observed under its load, returns that for
     * the next higher load, as a higher load never makes responses faster. Returns `null` if none is known.
     */
    fun usualOrNull(timing: Timing): Double? = (timing.loadClass..timing.loadClass + MAXIMUM_CLASS_DISTANCE)
        .firstNotNullOfOrNull { means[timing.key(it)]?.takeIf { mean -> mean.count >= MINIMUM_COUNT } }
        ?.value

    private fun Timing.key(loadClass: Int): Key = Key(service, stage, route, loadClass)

    private companion object {
        const val MINIMUM_COUNT = 3

        /** The older values lose weight when a mean has this many, so that it follows changes of traffic. */
        const val MAXIMUM_COUNT = 64
        const val HALF = 0.5
        const val MAXIMUM_CLASS_DISTANCE = 6
    }
}

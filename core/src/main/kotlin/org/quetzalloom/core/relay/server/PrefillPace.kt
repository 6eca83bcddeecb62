package org.quetzalloom.core.relay.server

/**
 * How fast the backend servers of a service read prompts, measured over recent responses.
 *
 * @property work the sum of the work ahead of these responses, in tokens weighted by model size.
 * @property milliseconds the sum of the times that these responses took to begin.
 */
internal data class PrefillPace(val work: Double = 0.0, val milliseconds: Double = 0.0) {
    /** Returns the pace after a response that took [elapsed] milliseconds to begin with [workUntilResponse] ahead. */
    fun record(workUntilResponse: Long, elapsed: Long): PrefillPace {
        if (workUntilResponse < MINIMUM_SAMPLE_WORK) return this
        val kept = if (work > MAXIMUM_WORK) HALF else 1.0
        return PrefillPace(work = work * kept + workUntilResponse, milliseconds = milliseconds * kept + elapsed)
    }

    /** Estimates how many milliseconds [workUntilResponse] takes to read; `null` while too little was measured. */
    fun estimateOrNull(workUntilResponse: Long): Long? =
        (workUntilResponse * milliseconds / work).toLong().takeIf { work >= MAXIMUM_WORK * HALF }

    /** Returns how much work is read in [milliseconds]; 0 while too little was measured. */
    fun workIn(milliseconds: Double): Long =
        if (work >= MAXIMUM_WORK * HALF) (milliseconds * work / this.milliseconds.coerceAtLeast(1.0)).toLong() else 0

    private companion object {
        /** Less work is not recorded: the time until its response says more about the network than about reading. */
        const val MINIMUM_SAMPLE_WORK = 2_000L

        /** The sums are halved when they exceed this much work, about a hundred prompts of usual length. */
        const val MAXIMUM_WORK = 1_000_000.0
        const val HALF = 0.5
    }
}

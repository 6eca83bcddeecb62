package org.quetzalloom.core.relay.server

/**
 * How fast the backend servers of a service read prompts, from the answers of late.
 *
 * @property work the prompts that were to be read before these answers began, weighed by model.
 * @property milliseconds the time that these answers took to begin.
 */
internal data class PrefillPace(val work: Double = 0.0, val milliseconds: Double = 0.0) {
    /** Returns the pace after an answer that began [elapsed] milliseconds after [workUntilAnswer] was ahead of it. */
    fun record(workUntilAnswer: Long, elapsed: Long): PrefillPace {
        if (workUntilAnswer < MINIMUM_SAMPLE_WORK) return this
        val kept = if (work > MAXIMUM_WORK) HALF else 1.0
        return PrefillPace(work = work * kept + workUntilAnswer, milliseconds = milliseconds * kept + elapsed)
    }

    /** Returns how many milliseconds [workUntilAnswer] takes to read, or `null` while too little is known. */
    fun estimateOrNull(workUntilAnswer: Long): Long? =
        (workUntilAnswer * milliseconds / work).toLong().takeIf { work >= MAXIMUM_WORK * HALF }

    private companion object {
        /** Answers to shorter prompts begin after a time that says more of the network than of reading. */
        const val MINIMUM_SAMPLE_WORK = 2_000L

        /** Older answers count half after this much work: about a hundred prompts of usual length. */
        const val MAXIMUM_WORK = 1_000_000.0
        const val HALF = 0.5
    }
}

package org.quetzalloom.core.relay.server

/**
 * How fast the backend servers of a service read prompts, from the answers of late.
 *
 * @property work the prompts that were to be read before these answers began, weighed by model.
 * @property milliseconds the time that these answers took to begin.
 */
internal data class ReadingPace(val work: Double = 0.0, val milliseconds: Double = 0.0) {
    /** Returns the pace after an answer that began [elapsed] milliseconds after it had [ahead] to read before it. */
    fun count(ahead: Long, elapsed: Long): ReadingPace {
        if (ahead < SHORTEST_WORK) return this
        val kept = if (work > MOST_WORK) HALF else 1.0
        return ReadingPace(work = work * kept + ahead, milliseconds = milliseconds * kept + elapsed)
    }

    /** Returns how many milliseconds [ahead] takes to read, or `null` while too little is known. */
    fun estimateOrNull(ahead: Long): Long? = (ahead * milliseconds / work).toLong().takeIf { work >= MOST_WORK * HALF }

    private companion object {
        /** Answers to shorter prompts begin after a time that says more of the network than of reading. */
        const val SHORTEST_WORK = 2_000L

        /** Older answers count half after this much work: about a hundred prompts of usual length. */
        const val MOST_WORK = 1_000_000.0
        const val HALF = 0.5
    }
}

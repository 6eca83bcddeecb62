package org.quetzalloom.core.relay.server

/**
 * How long work usually takes at a backend server, learned from its load reports. The reports also tell of brief
 * disturbances by others on the same machine, which are left out: the factor follows the shortest durations.
 *
 * @property factor the duration of work in multiples of the usual one, or `null` before the first report.
 */
internal data class WorkDuration(val factor: Double? = null) {
    /** Returns the duration after a report of [percent] of the usual duration; reports out of range are ignored. */
    fun record(percent: Int): WorkDuration {
        if (percent !in 1..MAXIMUM_PERCENT) return this
        val latest = percent / PERCENT
        val known = factor ?: latest
        return WorkDuration(if (latest <= known) latest else known + (latest - known) * RISE_WEIGHT)
    }

    private companion object {
        const val PERCENT = 100.0
        const val MAXIMUM_PERCENT = 1_000_000

        /** The weight of a longer duration. A server that stays slower is known to be so after some tens of reports. */
        const val RISE_WEIGHT = 0.05
    }
}

package org.quetzalloom.tool.operation

import org.quetzalloom.core.timeline.TimelineEntry

/**
 * Which entries of the time line to show; what is `null` does not matter.
 *
 * @property from the earliest wall clock time, in milliseconds since the epoch.
 * @property until the latest.
 */
internal data class TimelineFilter(
    val request: String? = null,
    val session: String? = null,
    val key: String? = null,
    val vm: String? = null,
    val from: Long? = null,
    val until: Long? = null,
) {
    /** Returns those of [entries] that match, causes before what they bring about. */
    fun select(entries: List<TimelineEntry>): List<TimelineEntry> {
        val requests = entries.filter { mentions(it) }.mapNotNull { it.fields["request"] }.toSet()
        return entries.filter { isInRange(it) && isRelevant(it, requests) }.sortedBy { it.stamp }
    }

    /** Returns whether [entry] itself names the request, session or key. */
    private fun mentions(entry: TimelineEntry): Boolean =
        (request != null && entry.fields["request"] == request) ||
            (session != null && entry.fields["session"] == session) ||
            (key != null && entry.fields["key"] == key)

    /** Entries of a request that was seen with the session or key belong to it, even if they do not name it. */
    private fun isRelevant(entry: TimelineEntry, requests: Set<String>): Boolean =
        (request == null && session == null && key == null) || mentions(entry) || entry.fields["request"] in requests

    private fun isInRange(entry: TimelineEntry): Boolean =
        (vm == null || entry.stamp.vm.value == vm) &&
            (from == null || entry.at.epochMilliseconds >= from) &&
            (until == null || entry.at.epochMilliseconds <= until)
}

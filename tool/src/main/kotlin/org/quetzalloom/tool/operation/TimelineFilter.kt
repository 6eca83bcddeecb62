package org.quetzalloom.tool.operation

import org.quetzalloom.core.timeline.TimelineEntry

/**
 * Selects entries of the time line. A criterion that is `null` admits all entries.
 *
 * If any of [request], [session] and [key] is set, an entry has to match one of them, or belong to a request that has
 * another entry that does. It also has to match all of [vm], [from] and [until].
 *
 * @property request the identifier of a request.
 * @property session the session of requests.
 * @property key the idempotency key of requests.
 * @property vm the VM at which the event happened.
 * @property from the earliest time, by the clock of the VM, in milliseconds since the Unix epoch.
 * @property until the latest time, in the same way; inclusive.
 */
internal data class TimelineFilter(
    val request: String? = null,
    val session: String? = null,
    val key: String? = null,
    val vm: String? = null,
    val from: Long? = null,
    val until: Long? = null,
) {
    /** Returns those of [entries] that match, in causal order. */
    fun select(entries: List<TimelineEntry>): List<TimelineEntry> {
        val requests = entries.filter { mentions(it) }.mapNotNull { it.fields["request"] }.toSet()
        return entries.filter { isInRange(it) && isRelevant(it, requests) }.sortedBy { it.stamp }
    }

    /** Returns whether [entry] itself names the request, session or key that is looked for. */
    private fun mentions(entry: TimelineEntry): Boolean =
        (request != null && entry.fields["request"] == request) ||
            (session != null && entry.fields["session"] == session) ||
            (key != null && entry.fields["key"] == key)

    /** Returns whether [entry] matches by itself or belongs to one of [requests], other entries of which match. */
    private fun isRelevant(entry: TimelineEntry, requests: Set<String>): Boolean =
        (request == null && session == null && key == null) || mentions(entry) || entry.fields["request"] in requests

    private fun isInRange(entry: TimelineEntry): Boolean =
        (vm == null || entry.stamp.vm.value == vm) &&
            (from == null || entry.at.epochMilliseconds >= from) &&
            (until == null || entry.at.epochMilliseconds <= until)
}

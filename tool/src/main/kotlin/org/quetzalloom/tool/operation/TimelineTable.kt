package org.quetzalloom.tool.operation

import kotlinx.serialization.encodeToString
import org.quetzalloom.core.timeline.TimelineEntry
import org.quetzalloom.wire.TimelineResponse
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.toDocument
import org.quetzalloom.wire.toEntry

/**
 * Formats the merged time line of all VMs. The parameter `answers` holds the response body of each; VMs that did not
 * respond are left out.
 */
internal object TimelineTable {
    /** Returns a line for each entry: stamp, VM, time, name and the fields in their order, separated by tabs. */
    fun text(answers: Map<String, String?>, filter: TimelineFilter): String =
        filter.select(merge(answers)).joinToString("\n") { line(it) }

    /** Returns the entries as a JSON object, a [TimelineResponse]. */
    fun json(answers: Map<String, String?>, filter: TimelineFilter): String =
        WireFormat.encodeToString(TimelineResponse(filter.select(merge(answers)).map { it.toDocument() }))

    private fun merge(answers: Map<String, String?>): List<TimelineEntry> = answers.values.filterNotNull()
        .flatMap { WireFormat.decodeFromString<TimelineResponse>(it).entries }
        .map { it.toEntry() }

    private fun line(entry: TimelineEntry): String {
        val fields = entry.fields.entries.joinToString(" ") { "${it.key}=${it.value}" }
        return "${entry.stamp.counter}\t${entry.stamp.vm}\t${entry.at}\t${entry.name}\t$fields"
    }
}

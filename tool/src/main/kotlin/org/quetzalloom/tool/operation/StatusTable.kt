package org.quetzalloom.tool.operation

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import org.quetzalloom.wire.StatusDocument
import org.quetzalloom.wire.WireFormat

/** Formats the statuses of VMs. The parameter `answers` holds the response body of each, `null` if the call failed. */
internal object StatusTable {
    /** Returns a header line and, for each VM, a line with tab-separated columns. */
    fun text(answers: Map<String, String?>): String = (
        listOf(HEADER) + answers.toSortedMap().map { (vm, body) ->
            body?.let { line(WireFormat.decodeFromString<StatusDocument>(it)) } ?: "$vm\tno answer"
        }
        ).joinToString("\n")

    /** Returns a JSON object with the response of each VM, or `null` for a VM that did not respond. */
    fun json(answers: Map<String, String?>): String = WireFormat.encodeToString(
        answers.toSortedMap().mapValues { (_, body) ->
            body?.let { WireFormat.decodeFromString<JsonElement>(it) } ?: JsonNull
        },
    )

    private fun line(status: StatusDocument): String = listOf(
        status.vm,
        status.revision,
        if (status.ready) "ready" else "not ready",
        status.active,
        status.unsettledBills,
        status.livePeers.size,
    ).joinToString("\t")

    private const val HEADER = "vm\trevision\tstate\tactive\tunsettled bills\tpeers"
}

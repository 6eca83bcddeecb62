package org.quetzalloom.tool.operation

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import org.quetzalloom.wire.StatusDocument
import org.quetzalloom.wire.WireFormat

/** Shows the states of VMs. */
internal object StatusTable {
    /** Returns a line for each VM. */
    fun text(answers: Map<String, String?>): String = (
        listOf(HEADER) + answers.toSortedMap().map { (vm, body) ->
            body?.let { line(WireFormat.decodeFromString<StatusDocument>(it)) } ?: "$vm\tno answer"
        }
        ).joinToString("\n")

    /** Returns one JSON object with the answer of each VM. */
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

package org.quetzalloom.tool.operation

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import org.quetzalloom.wire.WireFormat

/** Formats a router's explanation of where a request would go. */
internal object ExplanationTable {
    private val columns = listOf(
        "server",
        "zone",
        "version",
        "rank",
        "left_out_for",
        "forecast_start_ms",
        "forecast_end_ms",
        "load",
        "slots",
        "work_ahead",
        "slowness",
        "load_age_ms",
    )

    /** Returns lines with the verdict and what it rests on, and tab-separated columns with a line for each server. */
    fun text(body: String): String {
        val explanation = WireFormat.decodeFromString<JsonElement>(body).jsonObject
        val (servers, others) = explanation.entries.partition { it.value is JsonArray }
        val rows = servers.flatMap { it.value as JsonArray }.map { server ->
            columns.joinToString("\t") { cell(server.jsonObject[it] ?: JsonNull) }
        }
        return (others.map { (name, value) -> "$name: ${cell(value)}" } + columns.joinToString("\t") + rows)
            .joinToString("\n")
    }

    private fun cell(value: JsonElement): String = when (value) {
        JsonNull -> "-"
        is JsonPrimitive -> value.content
        is JsonArray -> value.joinToString(",") { cell(it) }.ifEmpty { "-" }
        is JsonObject -> value.entries.joinToString(" ") { (name, field) ->
            if (field is JsonObject) "$name (${cell(field)})" else "$name=${cell(field)}"
        }
    }
}

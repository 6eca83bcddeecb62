package org.quetzalloom.runtime

import org.quetzalloom.core.timeline.TimelineEntry

private val PLAIN = Regex("""[^\s"=]+""")

/**
 * Returns this entry as one line of `key=value` pairs: the event, the VM, the causal stamp and then the fields by key.
 *
 * Values that are empty or have white space, quotes or equals signs are quoted, and quotes, backslashes and line feeds
 * in them are escaped.
 */
public fun TimelineEntry.toLogLine(): String {
    val pairs = fields.entries.sortedBy { it.key }.joinToString("") { " ${it.key}=${quote(it.value)}" }
    return "event=$name vm=${stamp.vm} stamp=${stamp.counter}$pairs"
}

private fun quote(value: String): String = if (PLAIN.matches(value)) {
    value
} else {
    "\"${value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n")}\""
}

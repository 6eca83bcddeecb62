package org.quetzalloom.runtime

import org.quetzalloom.core.timeline.TimelineEntry

private val PLAIN = Regex("""[^\s"=]+""")

/**
 * Returns this entry as one line of `key=value` pairs: the event, the fields in their order, the VM and the causal
 * stamp.
 *
 * Values that are empty or have white space, quotes or equals signs are quoted, and quotes, backslashes and line feeds
 * in them are escaped. The last fields of a line of more than [maximumLength] characters are cut off; the VM and the
 * stamp are kept.
 */
public fun TimelineEntry.toLogLine(maximumLength: Int = Int.MAX_VALUE): String {
    val origin = " vm=${stamp.vm} stamp=${stamp.counter}"
    val pairs = fields.entries.joinToString("") { " ${it.key}=${quote(it.value)}" }
    return "event=$name$pairs".take((maximumLength - origin.length).coerceAtLeast(0)) + origin
}

private fun quote(value: String): String = if (PLAIN.matches(value)) {
    value
} else {
    "\"${value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n")}\""
}

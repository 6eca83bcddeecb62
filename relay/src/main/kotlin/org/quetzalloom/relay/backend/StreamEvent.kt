package org.quetzalloom.relay.backend

/**
 * One event of a `text/event-stream` body, or comments or line breaks between events.
 *
 * @param text the lines up to the empty one that ends the event, decoded as ISO 8859-1 so that an id is sent back to a
 *   backend server byte for byte.
 */
internal class StreamEvent(text: String) {
    private val lines = text.split('\n').map { it.trimEnd('\r') }.filter { it.isNotEmpty() }

    /** The id, or `null` if the event has none or an empty one. */
    val id: String? =
        lines.lastOrNull { it.startsWith(ID_FIELD) }?.removePrefix(ID_FIELD)?.trim()?.takeIf { it.isNotEmpty() }

    /** Whether there is anything but line breaks. */
    val hasLines: Boolean get() = lines.isNotEmpty()

    /** Whether there is anything but line breaks, comments and the time to wait before a reconnection. */
    val hasContent: Boolean get() = lines.any { !it.startsWith(COMMENT) && !it.startsWith(RETRY_FIELD) }

    private companion object {
        const val ID_FIELD = "id:"
        const val RETRY_FIELD = "retry:"
        const val COMMENT = ":"
    }
}

package org.quetzalloom.relay.backend

import io.netty.handler.codec.http.HttpHeaders
import org.quetzalloom.relay.http.EmbeddedHead

/**
 * One event of a `text/event-stream` body, or comments or line breaks between events.
 *
 * @param text the lines up to the empty one that ends the event, decoded as ISO 8859-1 so that an id is sent back to a
 *   backend server byte for byte.
 */
internal class StreamEvent(private val text: String) {
    private val lines = text.split('\n').map { it.trimEnd('\r') }.filter { it.isNotEmpty() }

    /** The id, or `null` if the event has none or an empty one. */
    val id: String? =
        lines.lastOrNull { it.startsWith(ID_FIELD) }?.removePrefix(ID_FIELD)?.trim()?.takeIf { it.isNotEmpty() }

    /** Whether there is anything but line breaks. */
    val hasLines: Boolean get() = lines.isNotEmpty()

    /** Whether there is anything but line breaks, comments and the time to wait before a reconnection. */
    val hasContent: Boolean get() = lines.any { !it.startsWith(COMMENT) && !it.startsWith(RETRY_FIELD) }

    /**
     * Returns whether all lines are fields or comments, and none contains the head of a response.
     *
     * A field may have any name in lower case, whereas a status line and most headers look like none. A data line may
     * quote a status line, unless headers follow that name a request according to [nameRequest].
     */
    fun isValid(nameRequest: (HttpHeaders) -> Boolean): Boolean =
        lines.all { line -> line.substringBefore(':').all { isFieldNameCharacter(it) } } && !hasHead(nameRequest)

    private fun hasHead(nameRequest: (HttpHeaders) -> Boolean): Boolean = STATUS_LINE_START in text &&
        EmbeddedHead.findAll(text).any { headers ->
            // The fields of the event that follow its data line are no headers.
            EVENT_FIELDS.forEach { headers.remove(it) }
            nameRequest(headers)
        }

    private companion object {
        const val ID_FIELD = "id:"
        const val RETRY_FIELD = "retry:"
        const val COMMENT = ":"
        const val STATUS_LINE_START = "HTTP/1."
        val EVENT_FIELDS = listOf("data", "event", "id", "retry")

        fun isFieldNameCharacter(character: Char): Boolean =
            character in 'a'..'z' || character in '0'..'9' || character in "-_."
    }
}

package org.quetzalloom.relay.soak

/** A response as a backend server has it in mind, whatever it makes of it on the wire. */
data class ServerResponse(
    val status: String,
    val id: String,
    val signature: String,
    val body: String,
    val framing: Framing,
    val isStream: Boolean = false,
) {
    /** How the end of the body is marked. */
    enum class Framing { LENGTH, CHUNKED, CONNECTION_END }

    private val head: String
        get() {
            val type = if (isStream) "text/event-stream" else "text/plain"
            val length = when (framing) {
                Framing.LENGTH -> "Content-Length: ${body.length}\r\n"
                Framing.CHUNKED -> "Transfer-Encoding: chunked\r\n"
                Framing.CONNECTION_END -> ""
            }
            return "HTTP/1.1 $status\r\nDate: today\r\nId: $id\r\nContent-Type: $type\r\n" +
                "Signature: $signature\r\n$length\r\n"
        }

    /** The length of the head in bytes. */
    val headLength: Int get() = head.length

    /** Whether the response has an end without that of its connection. */
    val endsByItself: Boolean get() = framing != Framing.CONNECTION_END

    /** Returns the bytes of the response, one per character. */
    fun encode(): String = head + if (framing == Framing.CHUNKED) chunks() else body

    private fun chunks(): String =
        body.chunked(CHUNK_LENGTH).joinToString("") { "${it.length.toString(16)}\r\n$it\r\n" } + "0\r\n\r\n"

    companion object {
        /** The number of events of each stream. */
        const val EVENTS = 6

        /** No multiple of the length of an event, so that chunks and events end at different bytes. */
        private const val CHUNK_LENGTH = 47

        /** Returns the event [number] of the stream for the request [id]. */
        fun event(id: String, number: Int): String = "id: $number\ndata: $id has $number\n\n"
    }
}

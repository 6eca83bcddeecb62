package org.quetzalloom.relay

/**
 * A stream as a caller received it in chunks.
 *
 * @property body what was received of the body; empty if the response is an error.
 * @property complete whether the last chunk was received.
 */
data class ReceivedStream(val body: String, val complete: Boolean) {
    /** The values of the received fields with [name], in the order of the stream. */
    fun values(name: String): List<String> =
        body.lines().filter { it.startsWith("$name: ") }.map { it.removePrefix("$name: ") }

    companion object {
        private const val HEXADECIMAL = 16
        private const val LINE_END = "\r\n"

        /** Decodes all that a caller received on a connection with one request. */
        fun parse(response: String): ReceivedStream {
            if (!response.startsWith("HTTP/1.1 200 ")) return ReceivedStream("", complete = false)
            val body = StringBuilder()
            var rest = response.substringAfter(LINE_END + LINE_END)
            while (true) {
                val size = rest.substringBefore(LINE_END).toIntOrNull(HEXADECIMAL)
                if (size == null || size == 0) return ReceivedStream(body.toString(), complete = size == 0)
                rest = rest.substringAfter(LINE_END)
                body.append(rest.take(size))
                rest = rest.drop(size + LINE_END.length)
            }
        }
    }
}

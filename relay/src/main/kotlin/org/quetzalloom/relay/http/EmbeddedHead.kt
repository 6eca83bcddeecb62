package org.quetzalloom.relay.http

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders

/** Finds the head of a response inside another message: a server has begun it before the end of the message. */
internal object EmbeddedHead {
    private const val START = "HTTP/1."
    private val STATUS_LINE = Regex("""HTTP/1\.[01] [1-5]\d\d\b""")

    /** The length in which the headers that identify a head are expected. */
    const val HEAD_LENGTH: Int = 4_096

    /** Returns whether [text] contains the start of a status line. */
    fun hasStatusLine(text: String): Boolean = START in text && STATUS_LINE.containsMatchIn(text)

    /**
     * Returns the headers that follow each status line in [text], up to the first line that is no header or the next
     * status line. A status line that starts in the last bytes of the text is included if [following], what was
     * received after it, completes it. Takes a time linear in the length of the texts.
     */
    fun findAll(text: String, following: String = ""): List<HttpHeaders> {
        val joined = text + following
        if (START !in joined) return emptyList()
        val starts = STATUS_LINE.findAll(joined).map { it.range.first }.toList() + joined.length
        return starts.zipWithNext().filter { (start, _) -> start < text.length }
            .map { (start, next) -> headersIn(joined.substring(start, minOf(next, start + HEAD_LENGTH))) }
    }

    private fun headersIn(head: String): HttpHeaders {
        val headers = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders()
        head.lineSequence().drop(1).takeWhile { ':' in it }
            .forEach { headers.add(it.substringBefore(':').trim(), it.substringAfter(':').trim()) }
        return headers
    }
}

package org.quetzalloom.relay.http

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders

/** The head of a response inside another message: a server has begun a response before the end of the one before. */
internal object EmbeddedHead {
    private val STATUS_LINE = Regex("""HTTP/1\.[01] [1-5]\d\d\b""")

    /** Returns whether [text] contains the start of a status line. */
    fun hasStatusLine(text: String): Boolean = STATUS_LINE.containsMatchIn(text)

    /**
     * Returns the headers that follow each status line in [text], up to the first line that is no header. A status line
     * that starts in the last bytes of the text is included if [following], what was received after it, completes it.
     */
    fun findAll(text: String, following: String = ""): Sequence<HttpHeaders> =
        STATUS_LINE.findAll(text + following).filter { it.range.first < text.length }
            .map { headersAfter(text + following, it.range.last + 1) }

    private fun headersAfter(text: String, start: Int): HttpHeaders {
        val headers = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders()
        text.substring(start).lineSequence().drop(1).takeWhile { ':' in it }
            .forEach { headers.add(it.substringBefore(':').trim(), it.substringAfter(':').trim()) }
        return headers
    }
}

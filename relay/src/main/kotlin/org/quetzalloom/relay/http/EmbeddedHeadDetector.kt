package org.quetzalloom.relay.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/**
 * Finds the head of another response in a body that is read piece by piece.
 *
 * A body may contain an example of a response. Therefore a status line counts only if [isHead] accepts the headers that
 * follow it, or if these tell the length of a body and something was received behind this one.
 */
internal class EmbeddedHeadDetector(private val isHead: (HttpHeaders) -> Boolean) {
    /** The end of the body so far, in which a head may have begun. */
    private var recent = ""

    /**
     * Returns whether a head has begun in the body that continues with [text], as far as it and [following], what was
     * received after the body, show.
     */
    fun hasBegun(text: String, following: String = ""): Boolean {
        val searched = recent + text
        val kept = if (EmbeddedHead.hasStatusLine(searched)) EmbeddedHead.HEAD_LENGTH else STATUS_LINE_LENGTH - 1
        recent = searched.takeLast(kept)
        return EmbeddedHead.findAll(searched, following).any { isHead(it) || following.isNotEmpty() && it.hasFraming() }
    }

    private fun HttpHeaders.hasFraming(): Boolean =
        contains(HttpHeaderNames.CONTENT_LENGTH) || contains(HttpHeaderNames.TRANSFER_ENCODING)

    private companion object {
        const val STATUS_LINE_LENGTH = "HTTP/1.1 200".length
    }
}

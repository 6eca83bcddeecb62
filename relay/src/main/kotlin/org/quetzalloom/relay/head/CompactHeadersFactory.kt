package org.quetzalloom.relay.head

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

/**
 * Creates the headers of the messages of one connection, and counts their memory.
 *
 * @param maximumLines the number of lines that a head or the trailers of a message may have.
 */
internal class CompactHeadersFactory(
    private val memory: HeadMemory,
    private val maximumLines: Int,
    private val validation: DefaultHttpHeadersFactory,
) : HttpHeadersFactory {
    private var latest: CompactHeaders? = null

    override fun newHeaders(): HttpHeaders {
        releaseLatest()
        return CompactHeaders(HeaderLines(memory, maximumLines), validation).also { latest = it }
    }

    /** Leaves the release of the headers that were created last to whoever has received them. */
    fun handOver() {
        latest = null
    }

    /** Ends the count of the memory of the headers that were created last, unless they have been handed over. */
    fun releaseLatest() {
        latest?.release()
        latest = null
    }

    override fun newEmptyHeaders(): HttpHeaders = newHeaders()

    companion object {
        /** The bytes of the shortest line: a name, a colon and the end of the line. */
        private const val SHORTEST_LINE_BYTES = 4

        /** Returns how many lines fit into a head of [bytes]. */
        fun linesIn(bytes: Int): Int = bytes / SHORTEST_LINE_BYTES
    }
}

/** Returns a configuration of a decoder whose heads take at most [maximumHeaderBytes] and are counted in [memory]. */
internal fun compactDecoderConfig(memory: HeadMemory, maximumHeaderBytes: Int): HttpDecoderConfig {
    val lines = CompactHeadersFactory.linesIn(maximumHeaderBytes)
    return HttpDecoderConfig().setMaxInitialLineLength(maximumHeaderBytes).setMaxHeaderSize(maximumHeaderBytes)
        .setHeadersFactory(CompactHeadersFactory(memory, lines, DefaultHttpHeadersFactory.headersFactory()))
        .setTrailersFactory(CompactHeadersFactory(memory, lines, DefaultHttpHeadersFactory.trailersFactory()))
}

/** Ends the count of the memory of headers and trailers that are being received. */
internal fun HttpDecoderConfig.releaseLatestHeaders(): Unit =
    listOf(headersFactory, trailersFactory).forEach { (it as? CompactHeadersFactory)?.releaseLatest() }

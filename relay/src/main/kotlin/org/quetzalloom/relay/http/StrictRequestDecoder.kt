package org.quetzalloom.relay.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Decodes requests. Rejects a request with both `Content-Length` and `Transfer-Encoding`, because it is ambiguous where
 * its body ends.
 */
internal class StrictRequestDecoder(maximumHeaderBytes: Int) : HttpRequestDecoder(
    HttpDecoderConfig()
        .setMaxInitialLineLength(maximumHeaderBytes)
        .setMaxHeaderSize(maximumHeaderBytes)
        .setMaxChunkSize(CHUNK_BYTES),
) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding")
    }

    private companion object {
        const val CHUNK_BYTES = 16_384
    }
}

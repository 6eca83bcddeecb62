package org.quetzalloom.relay.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.quetzalloom.relay.head.HeadMemory
import org.quetzalloom.relay.head.compactDecoderConfig
import org.quetzalloom.relay.head.releaseLatestHeaders

/**
 * Decodes responses. It has to know the request method, because a response to `HEAD` has a length but no body.
 *
 * The [decoder result][HttpObject.decoderResult] of a head that [HeadLines] or [ResponseValidator] rejects, of trailers
 * that the latter rejects, and of a chunk whose size is followed by a status line, is a failure.
 *
 * @param singleHeaders headers that a response has at most once, in addition to those of HTTP.
 */
internal class ResponseDecoder private constructor(
    singleHeaders: Set<String>,
    private val config: HttpDecoderConfig,
) : HttpResponseDecoder(config) {
    constructor(singleHeaders: Set<String> = emptySet(), memory: HeadMemory = HeadMemory.Uncounted) : this(
        singleHeaders,
        compactDecoderConfig(memory, MAXIMUM_HEAD_BYTES).setMaxInitialLineLength(MAXIMUM_LINE_BYTES),
    )

    private val validator = ResponseValidator(singleHeaders)
    private val headLines = HeadLines()

    /** Whether the head of a response has been decoded, and its end has not. */
    private var insideBody = false

    /** The method of the request in flight. */
    var method: HttpMethod = HttpMethod.GET

    /** Whether the input has ended, and with it a response without a length. */
    var inputEnded = false
        private set

    /** Whether a response is expected or being received. All other bytes are decoded as an invalid message. */
    var responseExpected = true

    /** The start of what had been received behind the last response when it was decoded. */
    var surplus = ""
        private set

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, output: MutableList<Any>) {
        if (!responseExpected) return reject(input, output, "the bytes belong to no response")
        val headProblem = if (insideBody) null else headLines.problemOrNull(input)
        if (headProblem != null) return reject(input, output, headProblem)
        val inputBefore = input.readerIndex()
        val decodedBefore = output.size
        val wasInsideBody = insideBody
        super.decode(context, input, output)
        val decoded = output.drop(decodedBefore).filterIsInstance<HttpObject>()
        decoded.forEach { insideBody = it !is LastHttpContent }
        if (decoded.lastOrNull() is LastHttpContent) {
            surplus = input.startAsText(MAXIMUM_SURPLUS_BYTES)
            headLines.reset()
        }
        val contentBytes = decoded.sumOf { if (it is HttpContent) it.content().readableBytes() else 0 }
        val framingBytes = input.readerIndex() - inputBefore - contentBytes
        if (wasInsideBody && hasStatusLine(input, inputBefore, framingBytes)) {
            decoded.forEach { ReferenceCountUtil.release(it) }
            output.subList(decodedBefore, output.size).clear()
            output += invalidMessage("a chunk begins with a status line")
        } else {
            decoded.filter { it.decoderResult().isSuccess }.forEach { validate(it) }
        }
    }

    /** The rest of [input] would otherwise be kept, and joined to the next response. */
    private fun reject(input: ByteBuf, output: MutableList<Any>, problem: String) {
        input.skipBytes(input.readableBytes())
        output += invalidMessage(problem)
    }

    private fun invalidMessage(problem: String): HttpObject = DefaultLastHttpContent().also { it.fail(problem) }

    private fun validate(message: HttpObject) {
        val problem = when (message) {
            is HttpResponse -> validator.headProblemOrNull(message)
            is LastHttpContent -> validator.trailersProblemOrNull(message.trailingHeaders())
            else -> null
        }
        problem?.let { message.fail(it) }
    }

    /** The decoder ignores the rest of a line that begins with the size of a chunk. */
    private fun hasStatusLine(input: ByteBuf, start: Int, length: Int): Boolean =
        length > 0 && EmbeddedHead.hasStatusLine(input.toString(start, length, Charsets.ISO_8859_1))

    private fun HttpObject.fail(problem: String) {
        decoderResult = DecoderResult.failure(IllegalArgumentException(problem))
    }

    override fun decodeLast(context: ChannelHandlerContext, input: ByteBuf, output: MutableList<Any>) {
        inputEnded = true
        super.decodeLast(context, input, output)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)

    /** Ends the count of the memory of the last response's head and trailers. */
    fun releaseHead(): Unit = config.releaseLatestHeaders()

    override fun handlerRemoved0(context: ChannelHandlerContext): Unit = releaseHead()

    private companion object {
        const val MAXIMUM_HEAD_BYTES = 8_192
        const val MAXIMUM_LINE_BYTES = 4_096

        /** Longer than the head of a response. */
        const val MAXIMUM_SURPLUS_BYTES = 8_192
    }
}

private fun ByteBuf.startAsText(maximumBytes: Int): String =
    toString(readerIndex(), readableBytes().coerceAtMost(maximumBytes), Charsets.ISO_8859_1)

package org.quetzalloom.relay.reader

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.identity.isIdentifier
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.feed.FeedAnswer
import org.quetzalloom.relay.http.Address
import org.quetzalloom.relay.http.CallClient

/** Reads the store through other routers. Confined to the event loop's thread. */
public class ReaderClient(private val client: CallClient) {
    /** Reads the feed of [effect] through [reader]; the records of the answer are without entries. */
    public fun read(effect: RelayEffect.ReadFeed, reader: Address, onResult: (Result<FeedAnswer, String>) -> Unit) {
        val from = effect.from?.let { "&${ReaderPaths.FROM}=$it" }.orEmpty()
        val wait = "${ReaderPaths.WAIT}=${effect.waitMilliseconds}"
        val era = if (effect.era == 0L) "" else "&${ReaderPaths.ERA}=${effect.era}"
        val uri = "${ReaderPaths.FEED}?${ReaderPaths.FEED_NAME}=${effect.feed}&$wait$from$era"
        call(Call(reader, uri, effect.readerTimeoutMilliseconds, purpose = "feed ${effect.feed}"), onResult) {
            FeedAnswerFormat.decode(it.content()).copy(era = it.era())
        }
    }

    /** Lists the members of the group, as of [generation] or later, through [reader]. */
    public fun listMembers(generation: Long, reader: Address, onResult: (Result<Map<VmId, String>, String>) -> Unit) {
        val uri = "${ReaderPaths.MEMBERS}?${ReaderPaths.GENERATION}=$generation"
        call(Call(reader, uri, MEMBERS_TIMEOUT_MILLISECONDS, purpose = "members"), onResult) {
            decodeMembers(it.content())
        }
    }

    private class Call(val reader: Address, val uri: String, val timeoutMilliseconds: Long, val purpose: String)

    private fun <T> call(call: Call, onResult: (Result<T, String>) -> Unit, decode: (FullHttpResponse) -> T) {
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, call.uri, Unpooled.EMPTY_BUFFER)
        request.headers().set(HttpHeaderNames.HOST, call.reader.toString())
        client.call(call.reader, request, call.timeoutMilliseconds, call.purpose) { result ->
            onResult(result.fold(success = { decodeOrErr(it, decode) }, failure = { Err(it.problem) }))
        }
    }

    private fun <T> decodeOrErr(response: FullHttpResponse, decode: (FullHttpResponse) -> T): Result<T, String> = try {
        if (response.status() == HttpResponseStatus.OK) Ok(decode(response)) else Err("${response.status()}")
    } catch (problem: IllegalArgumentException) {
        Err("the answer cannot be decoded: ${problem.message}")
    }

    private fun FullHttpResponse.era(): Long =
        headers().getAll(ReaderPaths.ERA_HEADER).singleOrNull()?.toLongOrNull()?.coerceAtLeast(0) ?: 0

    private fun decodeMembers(body: ByteBuf): Map<VmId, String> = body.toString(Charsets.UTF_8).lines()
        .map { it.substringBefore(' ') to it.substringAfter(' ', "") }
        .filter { (vm, _) -> isIdentifier(vm) }
        .associate { (vm, address) -> VmId(vm) to address }

    private companion object {
        /** The other router waits for a list for a little less time. */
        const val MEMBERS_TIMEOUT_MILLISECONDS = 2_500L
    }
}

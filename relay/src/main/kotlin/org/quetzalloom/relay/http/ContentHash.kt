package org.quetzalloom.relay.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import net.openhft.hashing.LongHashFunction

/**
 * Returns a hash of the method and target of [head], the credentials in it, and [body]: the same at all routers each
 * time that a caller sends the same request.
 */
internal fun contentHash(head: HttpRequest, body: ByteBuf): Long {
    val hash = LongHashFunction.xx3()
    val credentials = head.headers().get(HttpHeaderNames.AUTHORIZATION).orEmpty()
    val text = listOf(head.method().name(), head.uri(), credentials).joinToString("\u0000")
    return LongHashFunction.xx3(hash.hashChars(text)).hashBytes(body.nioBuffer())
}

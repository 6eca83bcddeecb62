package org.quetzalloom.relay.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import kotlin.test.Test
import kotlin.test.assertEquals

/** A request that comes again has the same content hash, whatever its id, and another request has another one. */
class ContentHashTest {
    private fun hash(
        path: String = "/draft/1",
        key: String = "Bearer a",
        body: String = "text",
        id: String = "1",
    ): Long {
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path)
        head.headers().set(HttpHeaderNames.AUTHORIZATION, key).set("X-Id", id)
        return contentHash(head, Unpooled.copiedBuffer(body, Charsets.UTF_8))
    }

    @Test
    fun `other headers do not change the hash`() {
        assertEquals(hash(), hash(id = "2"))
    }

    @Test
    fun `path, credentials and body change the hash`() {
        val others = listOf(hash(path = "/draft/2"), hash(key = "Bearer b"), hash(body = "texts"), hash(body = ""))
        val hashes = others + hash()
        assertEquals(hashes.size, hashes.toSet().size)
    }
}

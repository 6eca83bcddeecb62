package org.quetzalloom.daemon.backend

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import org.quetzalloom.core.backend.AttemptOrder
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.request.Target
import org.quetzalloom.daemon.RouterLoop
import org.quetzalloom.wire.backend.BackendHeaders

/**
 * An attempt to call a plain service, which answers one HTTP request with one response.
 *
 * Of the caller's request, the service gets the method, the path with its query, and the body, as JSON, but no headers.
 * A response of any status is passed on as the answer, unless it states that the service did not run the call.
 */
internal class ServiceCall(
    private val client: ServiceClient,
    private val order: AttemptOrder,
    private val loop: RouterLoop,
) : BackendCall {
    override suspend fun run(): Event.OfBackend {
        val response = client.call(order.address, request())
        if (response.notRun) return failureOf(order, notRun = true)
        acceptedOrNull(order, response.start)?.let { loop.post(it) }
        loop.post(Event.OfBackend.ChunkReceived(order.attempt, position = 0, tokens = 1, text = response.text))
        return Event.OfBackend.Finished(order.attempt, tokens = 1, status = response.status)
    }

    private fun request(): FullHttpRequest {
        val target = order.target as Target.ServiceCall
        val body = Unpooled.copiedBuffer(order.body, Charsets.UTF_8)
        val method = HttpMethod.valueOf(target.method)
        return DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, target.path, body).apply {
            headers().set(HttpHeaderNames.HOST, order.address)
            headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
            headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
            headers().set(BackendHeaders.ATTEMPT, order.attempt.value)
            order.fencing?.let { headers().set(BackendHeaders.FENCING, it) }
            order.scope?.let { headers().set(BackendHeaders.FENCING_SCOPE, it) }
        }
    }
}

package org.quetzalloom.relay.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import org.quetzalloom.core.error.ErrorKind
import java.util.concurrent.CopyOnWriteArrayList

/** Answers each request with 200, and keeps its path. */
internal class RecordingHandler : RequestHandler {
    val paths = CopyOnWriteArrayList<String>()

    override fun onRequest(head: HttpRequest, body: ByteBuf, response: ResponseWriter): CallerExchange? {
        paths += head.uri()
        response.writeWhole(HttpResponseStatus.OK, DefaultHttpHeaders(), body)
        return null
    }

    override fun onCallerDisconnected(exchange: CallerExchange) = Unit

    override fun refuse(response: ResponseWriter, kind: ErrorKind, detail: String, retryAfterMilliseconds: Long?) =
        response.writeWhole(HttpResponseStatus.valueOf(kind.status), DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER)

    override fun reportProblem(name: String, cause: Throwable) = Unit
}

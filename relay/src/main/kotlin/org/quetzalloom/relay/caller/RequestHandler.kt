package org.quetzalloom.relay.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import org.quetzalloom.core.error.ErrorKind

/** What is done with the requests of callers. */
internal interface RequestHandler {
    /** Takes a request that was read whole, and its [body]; returns `null` if it has been answered already. */
    fun onRequest(head: HttpRequest, body: ByteBuf, response: ResponseWriter): CallerExchange?

    /** Takes that the caller of [exchange] has closed its connection. */
    fun onCallerDisconnected(exchange: CallerExchange)

    /** Answers with an error of the relay's own. */
    fun refuse(response: ResponseWriter, kind: ErrorKind, detail: String, retryAfterMilliseconds: Long?)

    /** Logs a problem of a connection. */
    fun reportProblem(name: String, cause: Throwable)
}

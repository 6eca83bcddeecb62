package org.quetzalloom.relay.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import org.quetzalloom.core.error.ErrorKind

/** Handles the requests of callers. */
internal interface RequestHandler {
    /** Handles a complete request; takes ownership of [body]. Returns its exchange, or `null` if it has ended. */
    fun onRequest(head: HttpRequest, body: ByteBuf, response: ResponseWriter): CallerExchange?

    /** Handles that the caller of [exchange] has closed its connection. */
    fun onCallerDisconnected(exchange: CallerExchange)

    /** Writes an error response that the relay itself generates. */
    fun refuse(response: ResponseWriter, kind: ErrorKind, detail: String, retryAfterMilliseconds: Long?)

    /** Logs the event [name] for a problem on a caller's connection. */
    fun reportProblem(name: String, cause: Throwable)
}

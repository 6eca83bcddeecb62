package org.quetzalloom.relay.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import org.quetzalloom.core.error.ErrorKind

/** What a [RequestReader] reads from a caller's connection. */
internal sealed interface CallerMessage {
    /** A request has begun to arrive. Comes once or twice before its end. */
    data object Started : CallerMessage

    /** A complete request. The receiver must release [body]. */
    class Complete(val head: HttpRequest, val body: ByteBuf) : CallerMessage

    /**
     * A request that is invalid or cannot be taken. Nothing after it on the connection can be trusted.
     *
     * @property retryAfterMilliseconds the time after which the caller may retry, or `null` to name none.
     */
    class Rejected(
        val head: HttpRequest,
        val kind: ErrorKind,
        val detail: String,
        val retryAfterMilliseconds: Long? = null,
    ) : CallerMessage
}

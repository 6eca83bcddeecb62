package org.quetzalloom.relay.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import org.quetzalloom.core.error.ErrorKind

/** What a [RequestReader] makes of the bytes of a caller. */
internal sealed interface CallerMessage {
    /** A request has begun to arrive. */
    data object Started : CallerMessage

    /** A request has arrived whole; whoever takes it releases [body]. */
    class Complete(val head: HttpRequest, val body: ByteBuf) : CallerMessage

    /** A request cannot be taken, and nothing that follows it can be trusted. */
    class Rejected(val head: HttpRequest, val kind: ErrorKind, val detail: String) : CallerMessage
}

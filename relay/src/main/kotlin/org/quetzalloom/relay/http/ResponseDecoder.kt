package org.quetzalloom.relay.http

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes responses. It has to know the request method, because a response to `HEAD` has a length but no body. */
internal class ResponseDecoder : HttpResponseDecoder() {
    /** The method of the request in flight. */
    var method: HttpMethod = HttpMethod.GET

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
}

package org.quetzalloom.relay.http

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes answers; knows the method that was asked with, as an answer to `HEAD` has a length but no body. */
internal class ResponseDecoder : HttpResponseDecoder() {
    /** The method of the request that is under way. */
    var method: HttpMethod = HttpMethod.GET

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
}

package org.quetzalloom.relay.caller

import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

/** Encodes responses. It has to know the request method, because a response to `HEAD` has no body. */
internal class ResponseEncoder : HttpResponseEncoder() {
    /** The method of the request that is answered next. */
    var method: HttpMethod = HttpMethod.GET

    override fun isContentAlwaysEmpty(response: HttpResponse): Boolean =
        method == HttpMethod.HEAD || super.isContentAlwaysEmpty(response)
}

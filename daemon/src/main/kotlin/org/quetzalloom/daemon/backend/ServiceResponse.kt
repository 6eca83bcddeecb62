package org.quetzalloom.daemon.backend

import io.ktor.http.ContentType
import io.ktor.http.charset
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import org.quetzalloom.wire.backend.BackendHeaders

/**
 * The whole response of a plain service.
 *
 * @property start the start identity that the service named, or `null` if it named none.
 * @property notRun whether the service stated that it did not run the call.
 */
internal data class ServiceResponse(val status: Int, val start: String?, val notRun: Boolean, val text: String) {
    companion object {
        /**
         * Returns [response] with its body as text, in UTF-8 unless the response names another character set.
         *
         * @throws io.ktor.http.BadContentTypeFormatException if the content type cannot be parsed.
         */
        fun of(response: FullHttpResponse): ServiceResponse {
            val contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE)?.let { ContentType.parse(it) }
            return ServiceResponse(
                status = response.status().code(),
                start = response.headers().get(BackendHeaders.START),
                notRun = response.headers().contains(BackendHeaders.NOT_RUN),
                text = response.content().toString(contentType?.charset() ?: Charsets.UTF_8),
            )
        }
    }
}

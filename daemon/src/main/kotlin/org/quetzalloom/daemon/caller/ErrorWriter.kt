package org.quetzalloom.daemon.caller

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.serialization.encodeToString
import org.quetzalloom.core.error.RouterError
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.caller.ErrorBody
import org.quetzalloom.wire.caller.ErrorResponse

/** Writes error responses to callers. */
internal object ErrorWriter {
    private const val RETRY_AFTER_SECONDS = "1"

    /** Responds to [call] with [error], and with a `Retry-After` header if the request may be retried. */
    suspend fun write(call: ApplicationCall, error: RouterError) {
        if (error.kind.retryable) call.response.header(HttpHeaders.RetryAfter, RETRY_AFTER_SECONDS)
        call.respondText(format(error), ContentType.Application.Json, statusOf(error.kind.status))
    }

    /** Returns the response body for [error], an [ErrorResponse] in JSON. */
    fun format(error: RouterError): String = WireFormat.encodeToString(
        ErrorResponse(
            ErrorBody(
                code = error.kind.code,
                message = error.detail,
                notRun = error.kind.notRun,
                retryable = error.kind.retryable,
            ),
        ),
    )
}

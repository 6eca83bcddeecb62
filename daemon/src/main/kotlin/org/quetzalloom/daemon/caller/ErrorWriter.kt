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

/** Writes errors to callers. */
internal object ErrorWriter {
    private const val RETRY_AFTER_SECONDS = "1"

    /** Answers [call] with [error]. */
    suspend fun write(call: ApplicationCall, error: RouterError) {
        if (error.kind.retryable) call.response.header(HttpHeaders.RetryAfter, RETRY_AFTER_SECONDS)
        call.respondText(format(error), ContentType.Application.Json, statusOf(error.kind.status))
    }

    /** Returns the body that tells of [error]. */
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

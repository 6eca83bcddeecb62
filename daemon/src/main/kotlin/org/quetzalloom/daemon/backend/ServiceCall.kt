package org.quetzalloom.daemon.backend

import io.ktor.client.HttpClient
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import org.quetzalloom.core.backend.AttemptOrder
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.request.Target
import org.quetzalloom.daemon.RouterLoop
import org.quetzalloom.daemon.client.ResponseCheck
import org.quetzalloom.wire.backend.BackendHeaders

/**
 * An attempt to call a plain service, which answers one HTTP request with one response.
 *
 * Of the caller's request, the service gets the method, the path with its query, and the body, as JSON, but no headers.
 * A response of any status is passed on as the answer, unless it states that the service did not run the call.
 */
internal class ServiceCall(
    private val client: HttpClient,
    private val order: AttemptOrder,
    private val loop: RouterLoop,
) : BackendCall {
    override suspend fun run(): Event.OfBackend {
        val target = order.target as Target.ServiceCall
        return client.prepareRequest("http://${order.address}${target.path}") {
            method = HttpMethod.parse(target.method)
            contentType(ContentType.Application.Json)
            header(BackendHeaders.ATTEMPT, order.attempt.value)
            order.fencing?.let { header(BackendHeaders.FENCING, it) }
            order.scope?.let { header(BackendHeaders.FENCING_SCOPE, it) }
            if (order.body.isNotEmpty()) setBody(order.body)
        }.execute { readResponse(it) }
    }

    private suspend fun readResponse(response: HttpResponse): Event.OfBackend {
        if (response.headers[BackendHeaders.NOT_RUN] != null) return failureOf(order, response)
        acceptedOrNull(order, response)?.let { loop.post(it) }
        val text = ResponseCheck.readWholeText(response)
        loop.post(Event.OfBackend.ChunkReceived(order.attempt, position = 0, tokens = 1, text = text))
        return Event.OfBackend.Finished(order.attempt, tokens = 1, status = response.status.value)
    }
}

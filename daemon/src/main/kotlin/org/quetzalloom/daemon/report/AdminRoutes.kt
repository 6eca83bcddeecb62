package org.quetzalloom.daemon.report

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.encodeToString
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.router.RouterStatus
import org.quetzalloom.core.router.status
import org.quetzalloom.core.time.Clock
import org.quetzalloom.daemon.RouterLoop
import org.quetzalloom.wire.TimelineResponse
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.configuration.toDocument
import org.quetzalloom.wire.toDocument

/**
 * The HTTP routes for operators and load balancers: health, readiness, metrics, status, time line and drain.
 *
 * `POST /admin/drain` only starts a graceful shutdown of the router; the response does not wait for its end.
 */
internal class AdminRoutes(
    private val loop: RouterLoop,
    private val clock: Clock,
    private val reporter: Reporter,
    private val metrics: Metrics,
) {
    /** Adds the routes to [routing]. */
    fun install(routing: Route) {
        routing.get("/healthz") { call.respondText("ok\n") }
        routing.get("/readyz") {
            val ready = status().ready
            val code = if (ready) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
            call.respondText(if (ready) "ready\n" else "not ready\n", status = code)
        }
        routing.get("/metrics") { call.respondText(metrics.format()) }
        routing.get("/admin/status") { call.respondText(statusText(), ContentType.Application.Json) }
        routing.get("/admin/timeline") {
            val entries = reporter.recent().map { it.toDocument() }
            call.respondText(WireFormat.encodeToString(TimelineResponse(entries)), ContentType.Application.Json)
        }
        routing.post("/admin/drain") {
            loop.post(Event.ShutdownRequested)
            call.respondText("draining\n", status = HttpStatusCode.Accepted)
        }
    }

    private fun status(): RouterStatus = loop.snapshot().status(clock.now())

    private fun statusText(): String {
        val state = loop.snapshot()
        val document = state.status(clock.now()).toDocument(state.configurationOrNull?.toDocument())
        return WireFormat.encodeToString(document)
    }
}

package org.quetzalloom.daemon.peer

import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.daemon.RouterLoop
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.peer.PeerEnvelope
import org.quetzalloom.wire.peer.toMessage

/** The HTTP route for messages from peers. */
internal class PeerRoutes(private val loop: RouterLoop) {
    /** Adds `POST /peers` to [routing], which posts each message to the loop; status 400 if it cannot be parsed. */
    fun install(routing: Route) {
        routing.post("/peers") {
            val event = parseOrNull(call.receiveText())
            if (event == null) {
                call.respondText("the message cannot be parsed", status = HttpStatusCode.BadRequest)
            } else {
                loop.post(event)
                call.respond(HttpStatusCode.NoContent)
            }
        }
    }

    private fun parseOrNull(body: String): Event.FromPeer? = try {
        val envelope = WireFormat.decodeFromString<PeerEnvelope>(body)
        Event.FromPeer(VmId(envelope.from), envelope.stamp, envelope.message.toMessage())
    } catch (_: IllegalArgumentException) {
        null
    }
}

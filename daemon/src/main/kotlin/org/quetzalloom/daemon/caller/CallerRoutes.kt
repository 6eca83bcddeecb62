package org.quetzalloom.daemon.caller

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.io.IOException
import kotlinx.io.readByteArray
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.error.RouterError
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.request.CallerRequest
import org.quetzalloom.core.request.Target
import org.quetzalloom.daemon.RouterLoop
import org.quetzalloom.wire.caller.CallerHeaders
import java.util.UUID

/**
 * The HTTP routes for callers, which parse their requests, post them to the loop and write the answers.
 *
 * @property largestBodyBytes the maximum size of a request body; longer ones get [ErrorKind.TOO_LARGE].
 */
internal class CallerRoutes(
    private val loop: RouterLoop,
    private val pendingAnswers: PendingAnswers,
    private val parser: RequestParser,
    private val largestBodyBytes: Long,
) {
    /** Adds the route of completions to [routing], and a route that treats every other path as a service call. */
    fun install(routing: Route) {
        routing.post("/v1/chat/completions") { handle(call) { body -> parser.parseCompletion(call::header, body) } }
        routing.route("{path...}") {
            handle {
                val target = Target.ServiceCall(call.request.httpMethod.value.uppercase(), call.request.uri)
                handle(call) { body -> parser.parseServiceCall(call::header, target, body) }
            }
        }
    }

    private suspend fun handle(call: ApplicationCall, parse: (String) -> Result<CallerRequest, RouterError>) {
        val body = readBodyOrNull(call)
        if (body == null) {
            ErrorWriter.write(call, RouterError(ErrorKind.TOO_LARGE, "the body is larger than $largestBodyBytes bytes"))
        } else {
            parse(body).fold(success = { serve(call, it) }, failure = { ErrorWriter.write(call, it) })
        }
    }

    /** Returns the body, with bytes that are not valid UTF-8 replaced, or `null` if it is too large. */
    private suspend fun readBodyOrNull(call: ApplicationCall): String? {
        val bytes = call.receiveChannel().readRemaining(largestBodyBytes + 1).readByteArray()
        return if (bytes.size > largestBodyBytes) null else bytes.decodeToString()
    }

    private suspend fun serve(call: ApplicationCall, request: CallerRequest) {
        val id = RequestId(UUID.randomUUID().toString())
        val parts = Channel<Effect.OfCaller>(Channel.UNLIMITED)
        loop.post(Event.OfCaller.Arrived(id, request)) { pendingAnswers.register(id, parts) }
        call.response.header(CallerHeaders.REQUEST, id.value)
        try {
            AnswerWriter(call, id, request.target).write(parts)
        } catch (_: IOException) {
            reportDisconnect(id)
        } catch (cancelled: CancellationException) {
            reportDisconnect(id)
            throw cancelled
        }
    }

    private fun reportDisconnect(id: RequestId) =
        loop.post(Event.OfCaller.Disconnected(id)) { pendingAnswers.remove(id) }
}

private fun ApplicationCall.header(name: String): String? = request.header(name)

/** Returns the HTTP status with the number [code]. */
internal fun statusOf(code: Int): HttpStatusCode = HttpStatusCode.fromValue(code)

package org.quetzalloom.standins.http

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receive
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.utils.io.writeStringUtf8
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.io.IOException
import org.quetzalloom.runtime.EventLoop
import org.quetzalloom.runtime.LoopSettings
import java.util.UUID

/**
 * Runs a stand-in as an HTTP server on [port] of the loopback address.
 *
 * Requests are handled by coroutines, which post events to one event loop. Its effects reach the coroutine of a
 * request through a channel.
 */
class StandInServer<S : Any>(private val standIn: StandIn<S>, private val port: Int) {
    private val loop: EventLoop<S, HttpEvent, HttpEffect> = EventLoop(
        initial = standIn.initial,
        reducer = standIn,
        tick = HttpEvent.Tick,
        settings = LoopSettings(name = "stand-in-loop", tickMilliseconds = TICK_MILLISECONDS),
    )
    private var exchanges = persistentMapOf<String, Channel<HttpEffect>>()

    /** Starts the event loop and the server. Returns without waiting for either to end. */
    fun start(): EmbeddedServer<*, *> {
        loop.start(::carryOut)
        return embeddedServer(CIO, port = port, host = "127.0.0.1") {
            routing { route("{path...}") { handle { serve(call) } } }
        }.start(wait = false)
    }

    /** Passes [effect] to the coroutine of its request, if that still waits. Must be called on the loop's thread. */
    private fun carryOut(effect: HttpEffect) {
        val effects = exchanges[effect.exchangeId] ?: return
        effects.trySend(effect)
        if (effect is HttpEffect.Respond || effect is HttpEffect.Close || effect is HttpEffect.Abort) {
            effects.close()
            exchanges = exchanges.remove(effect.exchangeId)
        }
    }

    private suspend fun serve(call: ApplicationCall) {
        val exchangeId = UUID.randomUUID().toString()
        val effects = Channel<HttpEffect>(Channel.UNLIMITED)
        loop.post(HttpEvent.RequestReceived(parse(call, exchangeId))) { exchanges = exchanges.put(exchangeId, effects) }
        try {
            write(call, effects)
        } catch (_: IOException) {
            disconnect(exchangeId)
        } catch (cancelled: CancellationException) {
            disconnect(exchangeId)
            throw cancelled
        }
    }

    private fun disconnect(exchangeId: String) =
        loop.post(HttpEvent.ClientDisconnected(exchangeId)) { exchanges = exchanges.remove(exchangeId) }

    private suspend fun parse(call: ApplicationCall, exchangeId: String): HttpCall = HttpCall(
        exchangeId = exchangeId,
        method = call.request.httpMethod.value,
        path = call.request.path(),
        query = call.request.queryParameters.entries().associate { it.key to it.value.first() }.toPersistentMap(),
        headers = call.request.headers.entries()
            .associate { it.key.lowercase() to it.value.first() }
            .toPersistentMap(),
        body = if (standIn.hasBinaryBodies) {
            call.receive<ByteArray>().toString(Charsets.ISO_8859_1)
        } else {
            call.receiveText()
        },
    )

    private suspend fun write(call: ApplicationCall, effects: ReceiveChannel<HttpEffect>) {
        when (val first = effects.receive()) {
            is HttpEffect.Respond -> respond(call, first)
            is HttpEffect.Open -> stream(call, first, effects)
            is HttpEffect.Abort -> abort(call)
            is HttpEffect.Send, is HttpEffect.Close -> error("the first effect of a stream must be Open")
        }
    }

    private suspend fun respond(call: ApplicationCall, response: HttpEffect.Respond) {
        response.headers.forEach { (name, value) -> call.response.header(name, value) }
        val status = HttpStatusCode.fromValue(response.status)
        if (standIn.hasBinaryBodies) {
            val body = response.body.toByteArray(Charsets.ISO_8859_1)
            call.respondBytes(body, ContentType.Application.OctetStream, status)
        } else {
            call.respondText(response.body, ContentType.Application.Json, status)
        }
    }

    private suspend fun stream(call: ApplicationCall, open: HttpEffect.Open, effects: ReceiveChannel<HttpEffect>) {
        open.headers.forEach { (name, value) -> call.response.header(name, value) }
        call.respondBytesWriter(ContentType.Text.EventStream) {
            flush()
            for (effect in effects) {
                when (effect) {
                    is HttpEffect.Send -> writeStringUtf8("data: ${effect.data}\n\n")
                    is HttpEffect.Abort -> throw AbortedException()
                    else -> Unit
                }
                flush()
            }
        }
    }

    /** Declares a body of one byte and closes the connection before sending it, so that the client sees a failure. */
    private suspend fun abort(call: ApplicationCall) {
        call.respondBytesWriter(ContentType.Application.Json, contentLength = 1) { throw AbortedException() }
    }

    private companion object {
        const val TICK_MILLISECONDS = 5L
    }
}

/** Makes the server close the connection before the response is complete. */
private class AbortedException : IOException("the stand-in aborted the response")

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

/** Runs a stand-in as an HTTP server on one port of this machine. */
class StandInServer<S : Any>(private val standIn: StandIn<S>, private val port: Int) {
    private val loop: EventLoop<S, HttpEvent, HttpEffect> = EventLoop(
        initial = standIn.initial,
        reducer = standIn,
        tick = HttpEvent.Tick,
        settings = LoopSettings(name = "stand-in-loop", tickMilliseconds = TICK_MILLISECONDS),
    )
    private var exchanges = persistentMapOf<String, Channel<HttpEffect>>()

    /** Starts the server and returns at once. */
    fun start(): EmbeddedServer<*, *> {
        loop.start(::carryOut)
        return embeddedServer(CIO, port = port, host = "127.0.0.1") {
            routing { route("{path...}") { handle { serve(call) } } }
        }.start(wait = false)
    }

    /** Runs on the loop's thread. */
    private fun carryOut(effect: HttpEffect) {
        val answers = exchanges[effect.exchange] ?: return
        answers.trySend(effect)
        if (effect is HttpEffect.Respond || effect is HttpEffect.Close || effect is HttpEffect.Abort) {
            answers.close()
            exchanges = exchanges.remove(effect.exchange)
        }
    }

    private suspend fun serve(call: ApplicationCall) {
        val exchange = UUID.randomUUID().toString()
        val answers = Channel<HttpEffect>(Channel.UNLIMITED)
        loop.post(HttpEvent.Called(parse(call, exchange))) { exchanges = exchanges.put(exchange, answers) }
        try {
            write(call, answers)
        } catch (_: IOException) {
            leave(exchange)
        } catch (cancelled: CancellationException) {
            leave(exchange)
            throw cancelled
        }
    }

    private fun leave(exchange: String) =
        loop.post(HttpEvent.Left(exchange)) { exchanges = exchanges.remove(exchange) }

    private suspend fun parse(call: ApplicationCall, exchange: String): HttpCall = HttpCall(
        exchange = exchange,
        method = call.request.httpMethod.value,
        path = call.request.path(),
        query = call.request.queryParameters.entries().associate { it.key to it.value.first() }.toPersistentMap(),
        headers = call.request.headers.entries()
            .associate { it.key.lowercase() to it.value.first() }
            .toPersistentMap(),
        body = if (standIn.binary) call.receive<ByteArray>().toString(Charsets.ISO_8859_1) else call.receiveText(),
    )

    private suspend fun write(call: ApplicationCall, answers: ReceiveChannel<HttpEffect>) {
        when (val first = answers.receive()) {
            is HttpEffect.Respond -> respond(call, first)
            is HttpEffect.Open -> stream(call, first, answers)
            is HttpEffect.Abort -> abort(call)
            is HttpEffect.Send, is HttpEffect.Close -> error("a stream must be opened first")
        }
    }

    private suspend fun respond(call: ApplicationCall, answer: HttpEffect.Respond) {
        answer.headers.forEach { (name, value) -> call.response.header(name, value) }
        val status = HttpStatusCode.fromValue(answer.status)
        if (standIn.binary) {
            call.respondBytes(answer.body.toByteArray(Charsets.ISO_8859_1), ContentType.Application.OctetStream, status)
        } else {
            call.respondText(answer.body, ContentType.Application.Json, status)
        }
    }

    private suspend fun stream(call: ApplicationCall, open: HttpEffect.Open, answers: ReceiveChannel<HttpEffect>) {
        open.headers.forEach { (name, value) -> call.response.header(name, value) }
        call.respondBytesWriter(ContentType.Text.EventStream) {
            flush()
            for (answer in answers) {
                when (answer) {
                    is HttpEffect.Send -> writeStringUtf8("data: ${answer.data}\n\n")
                    is HttpEffect.Abort -> throw AbortedException()
                    else -> Unit
                }
                flush()
            }
        }
    }

    /** Promises a body and breaks off before it, so that the client sees a broken connection. */
    private suspend fun abort(call: ApplicationCall) {
        call.respondBytesWriter(ContentType.Application.Json, contentLength = 1) { throw AbortedException() }
    }

    private companion object {
        const val TICK_MILLISECONDS = 5L
    }
}

/** Ends a response in the middle on purpose. */
private class AbortedException : IOException("aborted on purpose")

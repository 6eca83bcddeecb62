package org.quetzalloom.standins.engine

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.encodeToString
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.standins.http.HttpCall
import org.quetzalloom.standins.http.HttpEffect
import org.quetzalloom.standins.http.HttpEvent
import org.quetzalloom.standins.http.StandIn
import org.quetzalloom.standins.http.badRequest
import org.quetzalloom.standins.http.notFound
import org.quetzalloom.standins.http.parseOrNull
import org.quetzalloom.standins.http.unchanged
import org.quetzalloom.standins.http.with
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.backend.BackendHeaders
import org.quetzalloom.wire.backend.GenerateRequest
import org.quetzalloom.wire.backend.LoadResponse

/**
 * A stand-in for a model engine, with the engine's `POST /generate` and `GET /load`.
 *
 * For tests, `POST /restart` restarts it cold, `POST /silence` stalls the generations that are running, without
 * closing their connections, `GET /books` returns its [EngineStatistics], and a prompt that contains [CRASH_MARKER]
 * crashes it. While it is down after a restart or a crash, it aborts every connection except those for `/books`.
 */
class EngineStandIn(private val settings: EngineSettings) : StandIn<EngineState> {
    private val work = EngineWork(settings)
    private val tokens = EngineTokens(settings, work)

    override val initial: EngineState = EngineState()

    override fun reduce(state: EngineState, event: HttpEvent, now: Timestamp): Transition<EngineState, HttpEffect> {
        val started = if (state.starts == 0) state.copy(starts = 1, startedAt = now) else state
        return when (event) {
            is HttpEvent.RequestReceived -> handleRequest(started, event.call, now)
            is HttpEvent.ClientDisconnected -> withoutExchange(started, event.exchangeId).unchanged()
            is HttpEvent.Tick -> tokens.sendDueTokens(started, now)
        }
    }

    private fun handleRequest(
        state: EngineState,
        call: HttpCall,
        now: Timestamp,
    ): Transition<EngineState, HttpEffect> = when {
        call.matches("GET", "/books") ->
            state.with(HttpEffect.Respond(call.exchangeId, body = WireFormat.encodeToString(state.statistics)))
        now < state.startedAt -> state.with(HttpEffect.Abort(call.exchangeId))
        call.matches("POST", "/generate") -> accept(state, call, now)
        call.matches("GET", "/load") -> state.with(load(state, call, now))
        call.matches("POST", "/restart") ->
            work.restart(state, now).then { it.with(HttpEffect.Respond(call.exchangeId)) }
        call.matches("POST", "/silence") -> stallStreams(state).with(HttpEffect.Respond(call.exchangeId))
        else -> state.with(call.notFound())
    }

    private fun load(state: EngineState, call: HttpCall, now: Timestamp): HttpEffect {
        val limit = now + -settings.loadLagMilliseconds
        val running = state.samples.lastOrNull { it.at <= limit }?.running ?: 0
        val response = LoadResponse(work.identity(state), running, upForMilliseconds = now - state.startedAt)
        return HttpEffect.Respond(call.exchangeId, body = WireFormat.encodeToString(response))
    }

    private fun accept(state: EngineState, call: HttpCall, now: Timestamp): Transition<EngineState, HttpEffect> {
        val request = call.parseOrNull<GenerateRequest>()
        return when {
            request == null -> state.with(call.badRequest())
            state.queue.size >= settings.capacity -> state.with(rejection(call))
            else -> work.start(state, call.exchangeId, request, now)
        }
    }

    private fun rejection(call: HttpCall): HttpEffect = HttpEffect.Respond(
        exchangeId = call.exchangeId,
        status = 503,
        headers = persistentMapOf(BackendHeaders.NOT_RUN to "true"),
    )

    private fun stallStreams(state: EngineState): EngineState =
        state.copy(running = state.running.map { it.copy(isStalled = true) }.toPersistentList())

    private fun withoutExchange(state: EngineState, exchangeId: String): EngineState = state.copy(
        running = state.running.filter { it.exchangeId != exchangeId }.toPersistentList(),
        queue = state.queue.filter { it.exchangeId != exchangeId }.toPersistentList(),
    )

    companion object {
        /** The text in a prompt that crashes the engine while it answers. */
        const val CRASH_MARKER: String = EngineTokens.CRASH_MARKER
    }
}

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
import org.quetzalloom.standins.http.notFound
import org.quetzalloom.standins.http.unchanged
import org.quetzalloom.standins.http.with
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.backend.BackendHeaders
import org.quetzalloom.wire.backend.GenerateEvent
import org.quetzalloom.wire.backend.GenerateRequest
import org.quetzalloom.wire.backend.LoadResponse

/**
 * Stands in for a model engine. Beside `POST /generate` and `GET /load` it has switches of its own:
 * `POST /restart` lets it go down and start cold, `POST /silence` lets its open connections go silent for good.
 * A prompt with [CRASH_MARK] in it takes it down.
 */
class EngineStandIn(private val settings: EngineSettings) : StandIn<EngineState> {
    override val initial: EngineState = EngineState()

    override fun reduce(state: EngineState, event: HttpEvent, now: Timestamp): Transition<EngineState, HttpEffect> {
        val started = if (state.starts == 0) state.copy(starts = 1, startedAt = now) else state
        return when (event) {
            is HttpEvent.Called -> call(started, event.call, now)
            is HttpEvent.Left -> left(started, event.exchange).unchanged()
            is HttpEvent.Tick -> generate(started.sampled(now), now)
        }
    }

    private fun call(state: EngineState, call: HttpCall, now: Timestamp): Transition<EngineState, HttpEffect> = when {
        call.matches("GET", "/books") ->
            state.with(HttpEffect.Respond(call.exchange, body = WireFormat.encodeToString(state.books)))
        now < state.startedAt -> state.with(HttpEffect.Abort(call.exchange))
        call.matches("POST", "/generate") -> accept(state, call, now)
        call.matches("GET", "/load") -> state.with(load(state, call, now))
        call.matches("POST", "/restart") -> goDown(state, now).then { it.with(HttpEffect.Respond(call.exchange)) }
        call.matches("POST", "/silence") -> silence(state).with(HttpEffect.Respond(call.exchange))
        else -> state.with(call.notFound())
    }

    private fun load(state: EngineState, call: HttpCall, now: Timestamp): HttpEffect {
        val limit = now + -settings.loadLagMilliseconds
        val running = state.samples.lastOrNull { it.at <= limit }?.running ?: 0
        val response = LoadResponse(identity(state), running, upForMilliseconds = now - state.startedAt)
        return HttpEffect.Respond(call.exchange, body = WireFormat.encodeToString(response))
    }

    private fun identity(state: EngineState): String = "${settings.name}-${state.starts}-${state.startedAt}"

    private fun accept(state: EngineState, call: HttpCall, now: Timestamp): Transition<EngineState, HttpEffect> {
        val request = try {
            WireFormat.decodeFromString<GenerateRequest>(call.body)
        } catch (problem: IllegalArgumentException) {
            return state.with(HttpEffect.Respond(call.exchange, status = 400, body = problem.message.orEmpty()))
        }
        return when {
            state.queue.size >= settings.capacity -> state.with(busy(call))
            else -> begin(state, generation(call.exchange, request, now), now)
        }
    }

    private fun busy(call: HttpCall): HttpEffect = HttpEffect.Respond(
        exchange = call.exchange,
        status = 503,
        headers = persistentMapOf(BackendHeaders.NOT_RUN to "true"),
    )

    private fun generation(exchange: String, request: GenerateRequest, now: Timestamp): Generation = Generation(
        exchange = exchange,
        version = request.version,
        prompt = request.prompt,
        priority = request.priority,
        position = request.resumeFrom,
        total = AnswerText.length(request.prompt, request.maximumTokens),
        dueAt = now + settings.tokenMilliseconds,
    )

    private fun begin(state: EngineState, generation: Generation, now: Timestamp): Transition<EngineState, HttpEffect> {
        val open = HttpEffect.Open(generation.exchange, persistentMapOf(BackendHeaders.START to identity(state)))
        val isWarm = now - state.startedAt >= settings.warmUpMilliseconds
        val waits = isWarm && state.running.size >= settings.capacity
        val next = if (waits) {
            state.copy(queue = state.queue.add(generation))
        } else {
            state.copy(running = state.running.add(generation)).counted(generation, now)
        }
        val overloaded = next.running.size > bearable(state, now)
        return next.with(open).then { if (overloaded) goDown(it.overloaded(), now) else it.unchanged() }
    }

    private fun EngineState.counted(generation: Generation, now: Timestamp): EngineState = copy(
        books = books.copy(
            generations = books.generations + (generation.version to books.begun(generation.version) + 1),
            lastBegunAt = books.lastBegunAt + (generation.version to now.epochMilliseconds),
            peak = maxOf(books.peak, running.size),
        ),
    )

    private fun EngineBooks.begun(version: String): Int = generations[version] ?: 0

    private fun EngineState.overloaded(): EngineState = copy(books = books.copy(overloads = books.overloads + 1))

    private fun bearable(state: EngineState, now: Timestamp): Int {
        val elapsed = (now - state.startedAt).coerceIn(0, settings.warmUpMilliseconds)
        val rise = (settings.capacity - settings.coldCapacity) * elapsed
        return settings.coldCapacity + (rise / settings.warmUpMilliseconds.coerceAtLeast(1)).toInt()
    }

    private fun goDown(state: EngineState, now: Timestamp): Transition<EngineState, HttpEffect> {
        val broken = (state.running + state.queue).map { HttpEffect.Abort(it.exchange) }
        val next = EngineState(
            starts = state.starts + 1,
            startedAt = now + settings.restartMilliseconds,
            books = state.books,
        )
        return Transition(next, broken.toPersistentList())
    }

    private fun silence(state: EngineState): EngineState =
        state.copy(running = state.running.map { it.copy(silent = true) }.toPersistentList())

    private fun left(state: EngineState, exchange: String): EngineState = state.copy(
        running = state.running.filter { it.exchange != exchange }.toPersistentList(),
        queue = state.queue.filter { it.exchange != exchange }.toPersistentList(),
    )

    private fun EngineState.sampled(now: Timestamp): EngineState {
        val limit = now + -settings.loadLagMilliseconds * 2
        val kept = if (samples.size < LARGEST_SAMPLES) samples else samples.filter { it.at >= limit }.toPersistentList()
        return copy(samples = kept.add(LoadSample(now, running.size)))
    }

    private fun generate(state: EngineState, now: Timestamp): Transition<EngineState, HttpEffect> {
        val crashing = state.running.any { CRASH_MARK in it.prompt && it.position >= CRASH_POSITION }
        if (crashing) return goDown(state.copy(books = state.books.copy(crashes = state.books.crashes + 1)), now)
        val steps = state.running.map { step(it, now) }
        val effects = steps.flatMap { it.effects }
        val next = state.copy(running = steps.mapNotNull { it.rest }.toPersistentList())
        return Transition(fill(next, now), effects.toPersistentList())
    }

    /** What one generation sends at one tick, and what is left of it. */
    private data class GenerationStep(val rest: Generation?, val effects: List<HttpEffect> = emptyList())

    private fun step(generation: Generation, now: Timestamp): GenerationStep {
        if (generation.silent || now < generation.dueAt) return GenerationStep(generation)
        val due = 1 + ((now - generation.dueAt) / settings.tokenMilliseconds.coerceAtLeast(1)).toInt()
        val count = minOf(due, generation.total - generation.position)
        val next = generation.copy(
            position = generation.position + count,
            dueAt = generation.dueAt + due * settings.tokenMilliseconds,
        )
        val piece = if (count > 0) listOf(piece(generation, count)) else emptyList()
        return if (next.position < next.total) GenerationStep(next, piece) else GenerationStep(null, piece + end(next))
    }

    private fun piece(generation: Generation, count: Int): HttpEffect {
        val text = AnswerText.tokens(generation.version, generation.prompt, generation.position, count)
        val event = GenerateEvent(position = generation.position, tokens = count, text = text)
        return HttpEffect.Send(generation.exchange, WireFormat.encodeToString(event))
    }

    private fun end(generation: Generation): List<HttpEffect> = listOf(
        HttpEffect.Send(generation.exchange, WireFormat.encodeToString(GenerateEvent(total = generation.total))),
        HttpEffect.Close(generation.exchange),
    )

    /** Lets the most urgent queued generations run. */
    private fun fill(state: EngineState, now: Timestamp): EngineState {
        val free = settings.capacity - state.running.size
        if (free <= 0 || state.queue.isEmpty()) return state
        val chosen = state.queue.sortedBy { it.priority }.take(free)
        val begun = chosen.map { it.copy(dueAt = now + settings.tokenMilliseconds) }
        val next = state.copy(running = state.running.addAll(begun), queue = state.queue.removeAll(chosen))
        return begun.fold(next) { reached, generation -> reached.counted(generation, now) }
    }

    companion object {
        /** A prompt that contains this takes the engine down. */
        const val CRASH_MARK: String = "crash-the-engine"

        private const val CRASH_POSITION = 2
        private const val LARGEST_SAMPLES = 1_000
    }
}

package org.quetzalloom.standins.engine

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.standins.http.HttpEffect
import org.quetzalloom.standins.http.unchanged
import org.quetzalloom.standins.http.with
import org.quetzalloom.wire.backend.BackendHeaders
import org.quetzalloom.wire.backend.GenerateRequest

/** Takes on generations, as far as the engine bears them. */
internal class EngineWork(private val settings: EngineSettings) {
    /** Returns the name of the start that the engine runs since. */
    fun identity(state: EngineState): String = "${settings.name}-${state.starts}-${state.startedAt}"

    private fun generation(exchange: String, request: GenerateRequest, now: Timestamp): Generation = Generation(
        exchange = exchange,
        version = request.version,
        prompt = request.prompt,
        priority = request.priority,
        position = request.resumeFrom,
        total = AnswerText.length(request.prompt, request.maximumTokens),
        dueAt = now + settings.tokenMilliseconds,
    )

    /** Begins to answer [request], or queues it; too much work for a cold engine takes it down. */
    fun begin(
        state: EngineState,
        exchange: String,
        request: GenerateRequest,
        now: Timestamp,
    ): Transition<EngineState, HttpEffect> {
        val generation = generation(exchange, request, now)
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

    /** Returns the state with [generation] in the books. */
    fun EngineState.counted(generation: Generation, now: Timestamp): EngineState = copy(
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

    /** Breaks off everything; the engine starts anew, and cold, after a while. */
    fun goDown(state: EngineState, now: Timestamp): Transition<EngineState, HttpEffect> {
        val broken = (state.running + state.queue).map { HttpEffect.Abort(it.exchange) }
        val next = EngineState(
            starts = state.starts + 1,
            startedAt = now + settings.restartMilliseconds,
            books = state.books,
        )
        return Transition(next, broken.toPersistentList())
    }
}

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

/** Starts generations and restarts the engine. */
internal class EngineWork(private val settings: EngineSettings) {
    /** Returns the identity of the last start: the name of the engine, the number of the start and its time. */
    fun identity(state: EngineState): String = "${settings.name}-${state.starts}-${state.startedAt}"

    private fun generation(exchangeId: String, request: GenerateRequest, now: Timestamp): Generation = Generation(
        exchangeId = exchangeId,
        version = request.version,
        prompt = request.prompt,
        priority = request.priority,
        position = request.resumeFrom,
        totalTokens = AnswerText.tokenCount(request.prompt, request.maximumTokens),
        dueAt = now + settings.tokenMilliseconds,
    )

    /**
     * Opens the response to [request] and starts its generation.
     *
     * A warm engine at capacity queues the generation. A cold engine does not queue: it starts the generation, and
     * restarts if that exceeds its current capacity.
     */
    fun start(
        state: EngineState,
        exchangeId: String,
        request: GenerateRequest,
        now: Timestamp,
    ): Transition<EngineState, HttpEffect> {
        val generation = generation(exchangeId, request, now)
        val open = HttpEffect.Open(generation.exchangeId, persistentMapOf(BackendHeaders.START to identity(state)))
        val isWarm = now - state.startedAt >= settings.warmUpMilliseconds
        val isQueued = isWarm && state.running.size >= settings.capacity
        val next = if (isQueued) {
            state.copy(queue = state.queue.add(generation))
        } else {
            state.copy(running = state.running.add(generation)).withGenerationCounted(generation, now)
        }
        val isOverloaded = next.running.size > currentCapacity(state, now)
        return next.with(open).then { if (isOverloaded) restart(it.withOverloadCounted(), now) else it.unchanged() }
    }

    /** Returns the state with [generation] counted in the statistics as started at [now]. */
    fun EngineState.withGenerationCounted(generation: Generation, now: Timestamp): EngineState = copy(
        statistics = statistics.copy(
            generations = statistics.generations +
                (generation.version to statistics.generationCount(generation.version) + 1),
            lastBegunAt = statistics.lastBegunAt + (generation.version to now.epochMilliseconds),
            peak = maxOf(statistics.peak, running.size),
        ),
    )

    private fun EngineStatistics.generationCount(version: String): Int = generations[version] ?: 0

    private fun EngineState.withOverloadCounted(): EngineState =
        copy(statistics = statistics.copy(overloads = statistics.overloads + 1))

    private fun currentCapacity(state: EngineState, now: Timestamp): Int {
        val elapsed = (now - state.startedAt).coerceIn(0, settings.warmUpMilliseconds)
        val addedCapacity = (settings.capacity - settings.coldCapacity) * elapsed
        return settings.coldCapacity + (addedCapacity / settings.warmUpMilliseconds.coerceAtLeast(1)).toInt()
    }

    /** Aborts all running and queued generations. The engine is down for a time, then starts cold. */
    fun restart(state: EngineState, now: Timestamp): Transition<EngineState, HttpEffect> {
        val aborts = (state.running + state.queue).map { HttpEffect.Abort(it.exchangeId) }
        val next = EngineState(
            starts = state.starts + 1,
            startedAt = now + settings.restartMilliseconds,
            statistics = state.statistics,
        )
        return Transition(next, aborts.toPersistentList())
    }
}

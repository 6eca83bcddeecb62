package org.quetzalloom.standins.engine

import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.encodeToString
import org.quetzalloom.core.collection.without
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.standins.http.HttpEffect
import org.quetzalloom.standins.http.with
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.backend.GenerateEvent

/** Generates tokens for the running generations, and starts queued ones when capacity becomes free. */
internal class EngineTokens(private val settings: EngineSettings, private val work: EngineWork) {
    private fun EngineState.withRunningSample(now: Timestamp): EngineState {
        val limit = now + -settings.loadLagMilliseconds * 2
        val kept = if (samples.size < MAXIMUM_SAMPLES) samples else samples.filter { it.at >= limit }.toPersistentList()
        return copy(samples = kept.add(RunningSample(now, running.size)))
    }

    /**
     * Sends the tokens that are due at [now] and starts queued generations.
     *
     * The engine crashes instead if the answer to a prompt with [CRASH_MARKER] has reached [CRASH_POSITION].
     */
    fun sendDueTokens(previous: EngineState, now: Timestamp): Transition<EngineState, HttpEffect> {
        val state = previous.withRunningSample(now)
        val isCrashing = state.running.any { CRASH_MARKER in it.prompt && it.position >= CRASH_POSITION }
        if (isCrashing) {
            return work.restart(
                state.copy(statistics = state.statistics.copy(crashes = state.statistics.crashes + 1)),
                now,
            )
        }
        val steps = state.running.map { step(it, now) }
        val effects = steps.flatMap { it.effects }
        val next = state.copy(running = steps.mapNotNull { it.remaining }.toPersistentList())
        return Transition(startQueued(next, now), effects.toPersistentList())
    }

    /** The effects of one generation at one tick, and the generation after it: `null` if it is complete. */
    private data class GenerationStep(val remaining: Generation?, val effects: List<HttpEffect> = emptyList())

    private fun step(generation: Generation, now: Timestamp): GenerationStep {
        if (generation.isStalled || now < generation.dueAt) return GenerationStep(generation)
        val due = 1 + ((now - generation.dueAt) / settings.tokenMilliseconds.coerceAtLeast(1)).toInt()
        val count = minOf(due, generation.totalTokens - generation.position)
        val next = generation.copy(
            position = generation.position + count,
            dueAt = generation.dueAt + due * settings.tokenMilliseconds,
        )
        val effects = if (count > 0) listOf(tokensEvent(generation, count)) else emptyList()
        return if (next.position < next.totalTokens) {
            GenerationStep(next, effects)
        } else {
            GenerationStep(null, effects + endOfStream(next))
        }
    }

    private fun tokensEvent(generation: Generation, count: Int): HttpEffect {
        val text = AnswerText.tokens(generation.version, generation.prompt, generation.position, count)
        val event = GenerateEvent(position = generation.position, tokens = count, text = text)
        return HttpEffect.Send(generation.exchangeId, WireFormat.encodeToString(event))
    }

    private fun endOfStream(generation: Generation): List<HttpEffect> = listOf(
        HttpEffect.Send(
            generation.exchangeId,
            WireFormat.encodeToString(GenerateEvent(total = generation.totalTokens)),
        ),
        HttpEffect.Close(generation.exchangeId),
    )

    /** Starts the queued generations that fit into the capacity: lowest priority number first, then oldest first. */
    private fun startQueued(state: EngineState, now: Timestamp): EngineState {
        val free = settings.capacity - state.running.size
        if (free <= 0 || state.queue.isEmpty()) return state
        val selected = state.queue.sortedBy { it.priority }.take(free)
        val started = selected.map { it.copy(dueAt = now + settings.tokenMilliseconds) }
        val next = state.copy(running = state.running.addAll(started), queue = state.queue.without { it in selected })
        return started.fold(next) { current, generation ->
            with(work) { current.withGenerationCounted(generation, now) }
        }
    }

    companion object {
        /** The text in a prompt that crashes the engine while it answers. */
        const val CRASH_MARKER: String = "crash-the-engine"

        private const val CRASH_POSITION = 2
        private const val MAXIMUM_SAMPLES = 1_000
    }
}

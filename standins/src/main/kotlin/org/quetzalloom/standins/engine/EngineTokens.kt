package org.quetzalloom.standins.engine

import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.encodeToString
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.standins.http.HttpEffect
import org.quetzalloom.standins.http.with
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.backend.GenerateEvent

/** Generates the tokens of the answers under way. */
internal class EngineTokens(private val settings: EngineSettings, private val work: EngineWork) {
    private fun EngineState.sampled(now: Timestamp): EngineState {
        val limit = now + -settings.loadLagMilliseconds * 2
        val kept = if (samples.size < LARGEST_SAMPLES) samples else samples.filter { it.at >= limit }.toPersistentList()
        return copy(samples = kept.add(LoadSample(now, running.size)))
    }

    /** Sends the tokens that are due. */
    fun generate(before: EngineState, now: Timestamp): Transition<EngineState, HttpEffect> {
        val state = before.sampled(now)
        val crashing = state.running.any { CRASH_MARK in it.prompt && it.position >= CRASH_POSITION }
        if (crashing) return work.goDown(state.copy(books = state.books.copy(crashes = state.books.crashes + 1)), now)
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
        return begun.fold(next) { reached, generation -> with(work) { reached.counted(generation, now) } }
    }

    companion object {
        /** A prompt that contains this takes the engine down. */
        const val CRASH_MARK: String = "crash-the-engine"

        private const val CRASH_POSITION = 2
        private const val LARGEST_SAMPLES = 1_000
    }
}

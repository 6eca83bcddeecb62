package org.quetzalloom.standins.load

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import net.openhft.hashing.LongHashFunction
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.time.Timestamp

/** Decides when which request is sent. */
class LoadReducer(private val settings: LoadSettings) : Reducer<LoadState, LoadEvent, LoadEffect> {
    override fun reduce(state: LoadState, event: LoadEvent, now: Timestamp): Transition<LoadState, LoadEffect> =
        when (event) {
            is LoadEvent.Tick -> send(state.copy(startedAt = state.startedAt ?: now), now)
            is LoadEvent.Ended -> Transition(state.copy(samples = state.samples.add(event.sample)))
        }

    private fun send(state: LoadState, now: Timestamp): Transition<LoadState, LoadEffect> {
        val elapsed = (now - (state.startedAt ?: now)).coerceAtMost(settings.durationMilliseconds)
        val due = elapsed * settings.requestsPerSecond / MILLISECONDS_PER_SECOND
        val effects = (state.sent until due).map { effect(it) }.toPersistentList()
        val next = state.copy(sent = maxOf(state.sent, due))
        val over = elapsed == settings.durationMilliseconds && next.samples.size.toLong() == next.sent
        if (!over || state.reported) return Transition(next, effects)
        return Transition(next.copy(reported = true), persistentListOf(LoadEffect.Report(next.samples)))
    }

    private fun effect(number: Long): LoadEffect {
        val target = settings.targets[(number % settings.targets.size).toInt()]
        val unique = "${settings.seed}-$number"
        return if (chance(number) < settings.commandPercent) {
            LoadEffect.Command(number, target, key = "command-$unique")
        } else {
            LoadEffect.Complete(number, target, prompt = "prompt $unique", session = session(number))
        }
    }

    private fun chance(number: Long): Long = Math.floorMod(hash(number), PERCENT)

    private fun session(number: Long): String? =
        if (settings.sessions == 0) {
            null
        } else {
            "session-${settings.seed}-${Math.floorMod(
                hash(number),
                settings.sessions
            )}"
        }

    private fun hash(number: Long): Long = LongHashFunction.xx3().hashChars("${settings.seed}:$number")

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L
        const val PERCENT = 100L
    }
}

package org.quetzalloom.standins.load

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import net.openhft.hashing.LongHashFunction
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.time.Timestamp

/**
 * Decides when which request is sent.
 *
 * The load is open-loop: requests start at the configured rate whether or not earlier ones have ended, so that slow
 * responses do not lower the rate. The targets are used in turn. The seed and the number of a request decide the rest.
 */
class LoadReducer(private val settings: LoadSettings) : Reducer<LoadState, LoadEvent, LoadEffect> {
    override fun reduce(state: LoadState, event: LoadEvent, now: Timestamp): Transition<LoadState, LoadEffect> =
        when (event) {
            is LoadEvent.Tick -> send(state.copy(startedAt = state.startedAt ?: now), now)
            is LoadEvent.RequestEnded -> Transition(state.copy(samples = state.samples.add(event.sample)))
        }

    private fun send(state: LoadState, now: Timestamp): Transition<LoadState, LoadEffect> {
        val elapsed = (now - (state.startedAt ?: now)).coerceAtMost(settings.durationMilliseconds)
        val due = elapsed * settings.requestsPerSecond / MILLISECONDS_PER_SECOND
        val effects = (state.sentCount until due).map { request(it) }.toPersistentList()
        val next = state.copy(sentCount = maxOf(state.sentCount, due))
        val isFinished = elapsed == settings.durationMilliseconds && next.samples.size.toLong() == next.sentCount
        if (!isFinished || state.isReported) return Transition(next, effects)
        return Transition(next.copy(isReported = true), persistentListOf(LoadEffect.Report(next.samples)))
    }

    private fun request(number: Long): LoadEffect {
        val target = settings.targets[(number % settings.targets.size).toInt()]
        val suffix = "${settings.seed}-$number"
        return if (hashPercent(number) < settings.commandPercent) {
            LoadEffect.SendCommand(number, target, key = "command-$suffix")
        } else {
            LoadEffect.SendCompletion(number, target, prompt = "prompt $suffix", session = session(number))
        }
    }

    /** Returns a number from 0 to 99 that depends on the seed and [number] only. */
    private fun hashPercent(number: Long): Long = Math.floorMod(hash(number), PERCENT)

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

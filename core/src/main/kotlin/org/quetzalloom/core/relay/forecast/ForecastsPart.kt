package org.quetzalloom.core.relay.forecast

import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/** Learns from each response how long generation takes and by how much forecasts are wrong. */
internal object ForecastsPart : RelayPart {
    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.ResponseStarted -> state.responseStarted(event, now)
        is RelayEvent.ResponseFinished -> state.responseFinished(event, now)
        else -> state.unchanged()
    }

    private fun RelayState.responseStarted(event: RelayEvent.ResponseStarted, now: Timestamp): RelayStep {
        val (exchange, attempt) = exchanges.currentOrNull(event.exchange, event.attempt)
            ?.takeIf { event.head.isSuccess && it.attempt.forecast != null } ?: return unchanged()
        val bias = forecasts.biases[exchange.service] ?: ForecastBias()
        val updated = bias.record(now - attempt.sentAt, attempt.forecast?.startMilliseconds ?: 0)
        return copy(forecasts = forecasts.copy(biases = forecasts.biases.put(exchange.service, updated))).unchanged()
    }

    private fun RelayState.responseFinished(event: RelayEvent.ResponseFinished, now: Timestamp): RelayStep {
        val (exchange, attempt) = exchanges.currentOrNull(event.exchange, event.attempt)
            ?.takeIf { event.events >= MINIMUM_EVENTS && it.exchange.request.expectedOutputTokens > 0 }
            ?: return unchanged()
        val tokens = exchange.request.expectedOutputTokens
        val startedAt = attempt.startedAt ?: attempt.sentAt
        val duration = servers.views[attempt.server]?.workDuration?.factor ?: 1.0
        val key = ForecastsState.ModelOfService(exchange.service, attempt.modelIndex)
        val pace = (forecasts.generation[key] ?: GenerationPace()).record(tokens, (now - startedAt) / duration)
        return copy(forecasts = forecasts.copy(generation = forecasts.generation.put(key, pace))).unchanged()
    }

    /** A response of fewer events has no time between them to speak of. */
    private const val MINIMUM_EVENTS = 2
}

package org.quetzalloom.standins.weights

import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.standins.http.HttpCall
import org.quetzalloom.standins.http.HttpEffect
import org.quetzalloom.standins.http.HttpEvent
import org.quetzalloom.standins.http.StandIn
import org.quetzalloom.standins.http.notFound
import org.quetzalloom.standins.http.unchanged
import org.quetzalloom.standins.http.with

/** The time from which the next download is allowed. */
data class WeightStoreState(val nextDownloadAt: Timestamp = Timestamp.EPOCH)

/**
 * A stand-in for the rate-limited weight store: `GET /weights/{version}` downloads the weights of a version.
 *
 * @property intervalMilliseconds the minimum time between two downloads. An earlier one is rejected with status 429 and
 *   the remaining time in `X-Wait-Milliseconds`.
 */
class WeightStoreStandIn(private val intervalMilliseconds: Long = 1_000) : StandIn<WeightStoreState> {
    override val initial: WeightStoreState = WeightStoreState()

    override fun reduce(
        state: WeightStoreState,
        event: HttpEvent,
        now: Timestamp,
    ): Transition<WeightStoreState, HttpEffect> = when (event) {
        is HttpEvent.RequestReceived -> handleRequest(state, event.call, now)
        is HttpEvent.Tick, is HttpEvent.ClientDisconnected -> state.unchanged()
    }

    private fun handleRequest(
        state: WeightStoreState,
        call: HttpCall,
        now: Timestamp,
    ): Transition<WeightStoreState, HttpEffect> = when {
        call.method != "GET" || !call.path.startsWith(WEIGHTS) -> state.with(call.notFound())
        now < state.nextDownloadAt -> state.with(rejection(call, state.nextDownloadAt - now))
        else -> WeightStoreState(nextDownloadAt = now + intervalMilliseconds)
            .with(HttpEffect.Respond(call.exchangeId, body = "weights of ${call.path.removePrefix(WEIGHTS)}"))
    }

    private fun rejection(call: HttpCall, waitMilliseconds: Long): HttpEffect = HttpEffect.Respond(
        exchangeId = call.exchangeId,
        status = 429,
        headers = persistentMapOf("X-Wait-Milliseconds" to waitMilliseconds.toString()),
    )

    private companion object {
        const val WEIGHTS = "/weights/"
    }
}

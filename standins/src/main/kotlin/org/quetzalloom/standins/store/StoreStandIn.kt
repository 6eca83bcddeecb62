package org.quetzalloom.standins.store

import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.standins.http.HttpCall
import org.quetzalloom.standins.http.HttpEffect
import org.quetzalloom.standins.http.HttpEvent
import org.quetzalloom.standins.http.StandIn
import org.quetzalloom.standins.http.notFound
import org.quetzalloom.standins.http.unchanged
import org.quetzalloom.standins.http.with

internal typealias StoreStep = Transition<StoreState, HttpEffect>

/**
 * Stands in for the platform's metadata store, as far as routers use it: keyed topics with one partition, and one
 * group.
 *
 * `PUT /fault?mode=MODE` sets a [StoreFault]; `PUT /forget?topic=NAME` drops the history of a topic, and keeps the
 * newest record of each key.
 */
class StoreStandIn : StandIn<StoreState> {
    override val initial: StoreState = StoreState()
    override val binary: Boolean get() = true

    override fun reduce(state: StoreState, event: HttpEvent, now: Timestamp): StoreStep = when (event) {
        is HttpEvent.Called -> call(state, event.call, now)
        is HttpEvent.Left -> state.copy(waiting = state.waiting.removeAll { it.exchange == event.exchange }).unchanged()
        HttpEvent.Tick -> StoreLog.answer(state, state.waiting.filter { it.dueAt <= now })
    }

    private fun call(state: StoreState, call: HttpCall, now: Timestamp): StoreStep = when {
        call.matches("PUT", "/fault") -> {
            val fault = StoreFault.valueOf(call.query.getValue("mode"))
            state.copy(fault = fault).with(HttpEffect.Respond(call.exchange))
        }
        call.matches("PUT", "/forget") -> StoreLog.forget(state, call)
        state.fault == StoreFault.REFUSES -> state.with(HttpEffect.Respond(call.exchange, status = UNAVAILABLE))
        state.fault == StoreFault.LOSES_ANSWERS -> {
            val done = serve(state, call, now).state
            done.copy(waiting = state.waiting).with(HttpEffect.Abort(call.exchange))
        }
        else -> serve(state, call, now)
    }

    private fun serve(state: StoreState, call: HttpCall, now: Timestamp): StoreStep = when (call.path) {
        "/-/log-append" -> StoreLog.append(state, call)
        "/-/log-read" -> StoreLog.read(state, call, now)
        "/-/log-newest" -> StoreLog.newest(state, call)
        "/-/log-join" -> StoreGroup.join(state, call)
        "/-/log-owners" -> StoreGroup.owners(state, call)
        else -> state.with(call.notFound())
    }

    private companion object {
        const val UNAVAILABLE = 503
    }
}

package org.quetzalloom.standins.store

import org.quetzalloom.core.collection.without
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.standins.http.HttpCall
import org.quetzalloom.standins.http.HttpEffect
import org.quetzalloom.standins.http.HttpEvent
import org.quetzalloom.standins.http.StandIn
import org.quetzalloom.standins.http.notFound
import org.quetzalloom.standins.http.unchanged
import org.quetzalloom.standins.http.with

/** The result of reducing one event of the store. */
internal typealias StoreStep = Transition<StoreState, HttpEffect>

/**
 * A stand-in for the platform's metadata store, limited to what routers use: keyed topics with one partition, and one
 * consumer group.
 *
 * Only tests run it; there is no subcommand for it. `PUT /fault?mode=MODE` sets a [StoreFault], and
 * `PUT /forget?topic=NAME` discards the history of a topic except for the newest record of each key. `PUT /copy` takes
 * a copy of all topics, to which `PUT /rewind` returns. All work during a fault.
 */
class StoreStandIn : StandIn<StoreState> {
    override val initial: StoreState = StoreState()
    override val hasBinaryBodies: Boolean get() = true

    override fun reduce(state: StoreState, event: HttpEvent, now: Timestamp): StoreStep =
        StoreEras.tellEra(reduceInEra(state, event, now))

    private fun reduceInEra(state: StoreState, event: HttpEvent, now: Timestamp): StoreStep = when (event) {
        is HttpEvent.RequestReceived -> handleRequest(state, event.call, now)
        is HttpEvent.ClientDisconnected ->
            state.copy(waitingReads = state.waitingReads.without { it.exchangeId == event.exchangeId }).unchanged()
        HttpEvent.Tick -> StoreLog.completeReads(state, state.waitingReads.filter { it.dueAt <= now })
    }

    private fun handleRequest(state: StoreState, call: HttpCall, now: Timestamp): StoreStep = when {
        call.matches("PUT", "/fault") -> {
            val fault = StoreFault.valueOf(call.query.getValue("mode"))
            state.copy(fault = fault).with(HttpEffect.Respond(call.exchangeId))
        }
        call.matches("PUT", "/copy") -> StoreEras.takeCopy(state, call)
        call.matches("PUT", "/rewind") -> StoreEras.rewind(state, call)
        call.matches("PUT", "/forget") -> StoreLog.discardHistory(state, call)
        state.fault == StoreFault.REFUSES -> state.with(HttpEffect.Respond(call.exchangeId, status = UNAVAILABLE))
        state.fault == StoreFault.LOSES_ANSWERS -> {
            val served = serve(state, call, now).state
            served.copy(waitingReads = state.waitingReads).with(HttpEffect.Abort(call.exchangeId))
        }
        else -> serve(state, call, now)
    }

    private fun serve(state: StoreState, call: HttpCall, now: Timestamp): StoreStep = when (call.path) {
        "/-/log-append" -> StoreLog.append(state, call)
        "/-/log-read" -> StoreLog.read(state, call, now)
        "/-/log-newest" -> StoreLog.readNewest(state, call)
        "/-/log-join" -> StoreGroup.join(state, call)
        "/-/log-owners" -> StoreGroup.listOwners(state, call)
        else -> state.with(call.notFound())
    }

    private companion object {
        const val UNAVAILABLE = 503
    }
}

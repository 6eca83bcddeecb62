package org.quetzalloom.standins.vms

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.encodeToString
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.standins.http.HttpCall
import org.quetzalloom.standins.http.HttpEffect
import org.quetzalloom.standins.http.HttpEvent
import org.quetzalloom.standins.http.StandIn
import org.quetzalloom.standins.http.badRequest
import org.quetzalloom.standins.http.notFound
import org.quetzalloom.standins.http.parseOrNull
import org.quetzalloom.standins.http.unchanged
import org.quetzalloom.standins.http.with
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.platform.VmsResponse

/** A VM list, visible from [visibleAt] on. */
data class ScheduledVmList(val visibleAt: Timestamp, val vms: VmsResponse)

/** The [visible] list, and the [upcoming] ones that will replace it, in order. */
data class VmListState(
    val visible: VmsResponse = VmsResponse(emptyList()),
    val upcoming: PersistentList<ScheduledVmList> = persistentListOf(),
)

/**
 * A stand-in for the platform's list of live and leaving VMs: `GET /vms` returns it.
 *
 * For tests, `PUT /vms` replaces the list.
 *
 * @property lagMilliseconds the time from the `PUT` of a list until `GET` returns it.
 */
class VmListStandIn(private val lagMilliseconds: Long = 2_000) : StandIn<VmListState> {
    override val initial: VmListState = VmListState()

    override fun reduce(state: VmListState, event: HttpEvent, now: Timestamp): Transition<VmListState, HttpEffect> =
        when (event) {
            is HttpEvent.RequestReceived -> handleRequest(withDueChanges(state, now), event.call, now)
            is HttpEvent.Tick, is HttpEvent.ClientDisconnected -> state.unchanged()
        }

    private fun handleRequest(
        state: VmListState,
        call: HttpCall,
        now: Timestamp,
    ): Transition<VmListState, HttpEffect> = when {
        call.matches("GET", "/vms") ->
            state.with(HttpEffect.Respond(call.exchangeId, body = WireFormat.encodeToString(state.visible)))
        call.matches("PUT", "/vms") -> replace(state, call, now)
        else -> state.with(call.notFound())
    }

    private fun replace(state: VmListState, call: HttpCall, now: Timestamp): Transition<VmListState, HttpEffect> =
        call.parseOrNull<VmsResponse>()?.let {
            state.copy(upcoming = state.upcoming.add(ScheduledVmList(now + lagMilliseconds, it)))
                .with(HttpEffect.Respond(call.exchangeId))
        } ?: state.with(call.badRequest())

    /** Returns the state after the lists that are due by [now] have become visible. */
    private fun withDueChanges(state: VmListState, now: Timestamp): VmListState {
        val due = state.upcoming.takeWhile { it.visibleAt <= now }
        if (due.isEmpty()) return state
        return VmListState(visible = due.last().vms, upcoming = state.upcoming.drop(due.size).toPersistentList())
    }
}

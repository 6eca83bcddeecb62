package org.quetzalloom.standins.service

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.standins.http.HttpCall
import org.quetzalloom.standins.http.HttpEffect
import org.quetzalloom.standins.http.HttpEvent
import org.quetzalloom.standins.http.StandIn
import org.quetzalloom.standins.http.unchanged
import org.quetzalloom.standins.http.with
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.backend.BackendHeaders
import org.quetzalloom.wire.backend.LoadResponse

/** One call that the service ran. [scope] names the command, where it was one. */
@Serializable
data class ExecutedCall(
    val method: String,
    val path: String,
    val scope: String? = null,
    val fencing: Long? = null,
)

/** Everything that the service ran, in order. */
@Serializable
data class ExecutedCalls(val entries: List<ExecutedCall>)

/** A call that runs until [dueAt]. */
data class RunningCall(val call: HttpCall, val dueAt: Timestamp)

/** What the service has run and runs, and the highest fencing number of each scope. */
data class ServiceState(
    val startedAt: Timestamp? = null,
    val executedCalls: PersistentList<ExecutedCall> = persistentListOf(),
    val running: PersistentList<RunningCall> = persistentListOf(),
    val highestFencingNumbers: PersistentMap<String, Long> = persistentMapOf(),
)

/**
 * Stands in for a plain service: every call is entered into the books, `GET /books` shows them.
 *
 * @property start names this start.
 * @property checksFencing whether it refuses fencing numbers below one that it has seen.
 * @property workMilliseconds the time that a call takes.
 */
class ServiceStandIn(
    private val startIdentity: String,
    private val checksFencing: Boolean = false,
    private val workMilliseconds: Long = 20,
) : StandIn<ServiceState> {
    override val initial: ServiceState = ServiceState()

    override fun reduce(state: ServiceState, event: HttpEvent, now: Timestamp): Transition<ServiceState, HttpEffect> {
        val started = if (state.startedAt == null) state.copy(startedAt = now) else state
        return when (event) {
            is HttpEvent.RequestReceived -> call(started, event.call, now)
            is HttpEvent.Tick -> finishCalls(started, now)
            is HttpEvent.ClientDisconnected -> started.unchanged()
        }
    }

    private fun call(state: ServiceState, call: HttpCall, now: Timestamp): Transition<ServiceState, HttpEffect> = when {
        call.matches("GET", "/load") -> state.with(load(state, call, now))
        call.matches("GET", "/books") -> {
            val body = WireFormat.encodeToString(ExecutedCalls(state.executedCalls))
            state.with(HttpEffect.Respond(call.exchangeId, body = body))
        }
        hasStaleFencingNumber(state, call) -> state.with(rejection(call))
        else -> startCall(state, call, now).unchanged()
    }

    private fun load(state: ServiceState, call: HttpCall, now: Timestamp): HttpEffect {
        val upForMilliseconds = now - (state.startedAt ?: now)
        val response = LoadResponse(startIdentity, running = state.running.size, upForMilliseconds = upForMilliseconds)
        return HttpEffect.Respond(call.exchangeId, body = WireFormat.encodeToString(response))
    }

    private fun hasStaleFencingNumber(state: ServiceState, call: HttpCall): Boolean {
        val number = call.fencingNumber
        val highest = state.highestFencingNumbers[call.scope.orEmpty()]
        return checksFencing && number != null && highest != null && number < highest
    }

    private fun rejection(call: HttpCall): HttpEffect = HttpEffect.Respond(
        exchangeId = call.exchangeId,
        status = 409,
        headers = persistentMapOf(BackendHeaders.NOT_RUN to "true"),
    )

    private fun startCall(state: ServiceState, call: HttpCall, now: Timestamp): ServiceState {
        val number = call.fencingNumber
        return state.copy(
            executedCalls = state.executedCalls.add(ExecutedCall(call.method, call.path, call.scope, number)),
            running = state.running.add(RunningCall(call, now + workMilliseconds)),
            highestFencingNumbers = if (number == null) {
                state.highestFencingNumbers
            } else {
                state.highestFencingNumbers.put(call.scope.orEmpty(), number)
            },
        )
    }

    private fun finishCalls(state: ServiceState, now: Timestamp): Transition<ServiceState, HttpEffect> {
        val finished = state.running.filter { it.dueAt <= now }
        if (finished.isEmpty()) return state.unchanged()
        val next = state.copy(running = state.running.removeAll(finished))
        return Transition(next, finished.map { response(it.call) }.toPersistentList())
    }

    private fun response(call: HttpCall): HttpEffect = HttpEffect.Respond(
        exchangeId = call.exchangeId,
        body = WireFormat.encodeToString(ExecutedCall(call.method, call.path, call.scope, call.fencingNumber)),
        headers = persistentMapOf(BackendHeaders.START to startIdentity),
    )

    private val HttpCall.scope: String? get() = header(BackendHeaders.FENCING_SCOPE)

    private val HttpCall.fencingNumber: Long? get() = header(BackendHeaders.FENCING)?.toLongOrNull()
}

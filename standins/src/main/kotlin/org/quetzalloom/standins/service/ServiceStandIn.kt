package org.quetzalloom.standins.service

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import org.quetzalloom.core.collection.without
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

/**
 * A call that the service executed.
 *
 * @property scope the fencing scope, which identifies the command, or `null` if the call was not a command.
 * @property fencing the fencing number, or `null` if the call had none.
 */
@Serializable
data class ExecutedCall(
    val method: String,
    val path: String,
    val scope: String? = null,
    val fencing: Long? = null,
)

/** All calls that the service executed, in the order of their start. */
@Serializable
data class ExecutedCalls(val entries: List<ExecutedCall>)

/** A call that is answered at [dueAt]. */
data class RunningCall(val call: HttpCall, val dueAt: Timestamp)

/**
 * The state of the service.
 *
 * @property startedAt the time of the first event, or `null` before it.
 * @property executedCalls the calls executed, in the order of their start.
 * @property running the calls that are not yet answered.
 * @property highestFencingNumbers the highest fencing number of each scope. Without fencing checks it is the last one.
 */
data class ServiceState(
    val startedAt: Timestamp? = null,
    val executedCalls: PersistentList<ExecutedCall> = persistentListOf(),
    val running: PersistentList<RunningCall> = persistentListOf(),
    val highestFencingNumbers: PersistentMap<String, Long> = persistentMapOf(),
)

/**
 * A stand-in for a service that is not a model: it records every call and answers it after a fixed time.
 *
 * A call counts as executed as soon as it has started, even if the client disconnects. `GET /load` returns the load,
 * and `GET /books` the [ExecutedCalls], for tests and the audit.
 *
 * @property startIdentity the identity of this start of the service.
 * @property checksFencing whether a call is rejected with status 409, unexecuted, if its fencing number is lower than
 *   one that was seen in its scope.
 * @property workMilliseconds the time from a call to its response.
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
            is HttpEvent.RequestReceived -> handleRequest(started, event.call, now)
            is HttpEvent.Tick -> finishCalls(started, now)
            is HttpEvent.ClientDisconnected -> started.unchanged()
        }
    }

    private fun handleRequest(
        state: ServiceState,
        call: HttpCall,
        now: Timestamp,
    ): Transition<ServiceState, HttpEffect> = when {
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
        val next = state.copy(running = state.running.without { it.dueAt <= now })
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

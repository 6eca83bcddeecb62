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
data class BookEntry(
    val method: String,
    val path: String,
    val scope: String? = null,
    val fencing: Long? = null,
)

/** Everything that the service ran, in order. */
@Serializable
data class Books(val entries: List<BookEntry>)

/** A call that runs until [dueAt]. */
data class RunningCall(val call: HttpCall, val dueAt: Timestamp)

/** What the service has run and runs, and the highest fencing number of each scope. */
data class ServiceState(
    val startedAt: Timestamp? = null,
    val books: PersistentList<BookEntry> = persistentListOf(),
    val running: PersistentList<RunningCall> = persistentListOf(),
    val fences: PersistentMap<String, Long> = persistentMapOf(),
)

/**
 * Stands in for a plain service: every call is entered into the books, `GET /books` shows them.
 *
 * @property start names this start.
 * @property checksFencing whether it refuses fencing numbers below one that it has seen.
 * @property workMilliseconds the time that a call takes.
 */
class ServiceStandIn(
    private val start: String,
    private val checksFencing: Boolean = false,
    private val workMilliseconds: Long = 20,
) : StandIn<ServiceState> {
    override val initial: ServiceState = ServiceState()

    override fun reduce(state: ServiceState, event: HttpEvent, now: Timestamp): Transition<ServiceState, HttpEffect> {
        val started = if (state.startedAt == null) state.copy(startedAt = now) else state
        return when (event) {
            is HttpEvent.Called -> call(started, event.call, now)
            is HttpEvent.Tick -> finish(started, now)
            is HttpEvent.Left -> started.unchanged()
        }
    }

    private fun call(state: ServiceState, call: HttpCall, now: Timestamp): Transition<ServiceState, HttpEffect> = when {
        call.matches("GET", "/load") -> state.with(load(state, call, now))
        call.matches("GET", "/books") ->
            state.with(HttpEffect.Respond(call.exchange, body = WireFormat.encodeToString(Books(state.books))))
        isFenced(state, call) -> state.with(refusal(call))
        else -> run(state, call, now).unchanged()
    }

    private fun load(state: ServiceState, call: HttpCall, now: Timestamp): HttpEffect {
        val upFor = now - (state.startedAt ?: now)
        val response = LoadResponse(start, running = state.running.size, upForMilliseconds = upFor)
        return HttpEffect.Respond(call.exchange, body = WireFormat.encodeToString(response))
    }

    private fun isFenced(state: ServiceState, call: HttpCall): Boolean {
        val number = call.fencing
        val highest = state.fences[call.scope.orEmpty()]
        return checksFencing && number != null && highest != null && number < highest
    }

    private fun refusal(call: HttpCall): HttpEffect = HttpEffect.Respond(
        exchange = call.exchange,
        status = 409,
        headers = persistentMapOf(BackendHeaders.NOT_RUN to "true"),
    )

    private fun run(state: ServiceState, call: HttpCall, now: Timestamp): ServiceState {
        val number = call.fencing
        return state.copy(
            books = state.books.add(BookEntry(call.method, call.path, call.scope, number)),
            running = state.running.add(RunningCall(call, now + workMilliseconds)),
            fences = if (number == null) state.fences else state.fences.put(call.scope.orEmpty(), number),
        )
    }

    private fun finish(state: ServiceState, now: Timestamp): Transition<ServiceState, HttpEffect> {
        val done = state.running.filter { it.dueAt <= now }
        if (done.isEmpty()) return state.unchanged()
        val next = state.copy(running = state.running.removeAll(done))
        return Transition(next, done.map { answer(it.call) }.toPersistentList())
    }

    private fun answer(call: HttpCall): HttpEffect = HttpEffect.Respond(
        exchange = call.exchange,
        body = WireFormat.encodeToString(BookEntry(call.method, call.path, call.scope, call.fencing)),
        headers = persistentMapOf(BackendHeaders.START to start),
    )

    private val HttpCall.scope: String? get() = header(BackendHeaders.FENCING_SCOPE)

    private val HttpCall.fencing: Long? get() = header(BackendHeaders.FENCING)?.toLongOrNull()
}

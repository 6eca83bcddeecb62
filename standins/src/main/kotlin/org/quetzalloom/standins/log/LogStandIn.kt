package org.quetzalloom.standins.log

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.encodeToString
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.standins.http.HttpCall
import org.quetzalloom.standins.http.HttpEffect
import org.quetzalloom.standins.http.HttpEvent
import org.quetzalloom.standins.http.StandIn
import org.quetzalloom.standins.http.notFound
import org.quetzalloom.standins.http.parseOrNull
import org.quetzalloom.standins.http.unchanged
import org.quetzalloom.standins.http.unreadable
import org.quetzalloom.standins.http.with
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.platform.AppendRequest
import org.quetzalloom.wire.platform.AppendResponse
import org.quetzalloom.wire.platform.LogEntryDocument
import org.quetzalloom.wire.platform.ReadResponse

/** One stream: its records that are kept, the time of each, and the offset of the first of them. */
data class StreamState(
    val earliest: Long = 0,
    val entries: PersistentList<LogEntryDocument> = persistentListOf(),
    val times: PersistentList<Timestamp> = persistentListOf(),
) {
    /** The offset after the last record. */
    val next: Long get() = earliest + entries.size
}

/** The streams, and the appends of the current second. */
data class LogState(
    val streams: PersistentMap<String, StreamState> = persistentMapOf(),
    val second: Long = 0,
    val appendsInSecond: Int = 0,
)

/**
 * Stands in for the platform's append-only log.
 *
 * @property appendsPerSecond the appends taken in one second; more are refused with status 429.
 * @property retentionMilliseconds how long records are kept.
 */
class LogStandIn(
    private val appendsPerSecond: Int = 500,
    private val retentionMilliseconds: Long = 86_400_000,
) : StandIn<LogState> {
    override val initial: LogState = LogState()

    override fun reduce(state: LogState, event: HttpEvent, now: Timestamp): Transition<LogState, HttpEffect> =
        when (event) {
            is HttpEvent.Called -> call(state, event.call, now)
            is HttpEvent.Tick -> expire(state, now).unchanged()
            is HttpEvent.Left -> state.unchanged()
        }

    private fun call(state: LogState, call: HttpCall, now: Timestamp): Transition<LogState, HttpEffect> {
        val stream = call.path.removePrefix("/streams/")
        return when {
            stream == call.path || stream.isEmpty() -> state.with(call.notFound())
            call.method == "POST" -> append(state, stream, call, now)
            call.method == "GET" -> state.with(read(state, stream, call))
            else -> state.with(call.notFound())
        }
    }

    private fun append(
        state: LogState,
        stream: String,
        call: HttpCall,
        now: Timestamp,
    ): Transition<LogState, HttpEffect> {
        val second = now.epochMilliseconds / MILLISECONDS_PER_SECOND
        val earlier = if (second == state.second) state.appendsInSecond else 0
        val request = call.parseOrNull<AppendRequest>()
        val counted = state.copy(second = second, appendsInSecond = earlier + 1)
        return when {
            earlier >= appendsPerSecond -> state.with(HttpEffect.Respond(call.exchange, status = 429))
            request == null -> state.with(call.unreadable())
            else -> append(counted, stream, call, request, now)
        }
    }

    private fun append(
        state: LogState,
        stream: String,
        call: HttpCall,
        request: AppendRequest,
        now: Timestamp,
    ): Transition<LogState, HttpEffect> {
        val old = state.streams[stream] ?: StreamState()
        val response = WireFormat.encodeToString(AppendResponse(old.next))
        return state.copy(
            streams = state.streams.put(stream, old.appended(request, now))
        ).with(HttpEffect.Respond(call.exchange, body = response))
    }

    private fun StreamState.appended(request: AppendRequest, now: Timestamp): StreamState {
        val added = request.records.mapIndexed { place, record ->
            LogEntryDocument(next + place, request.stamp, record)
        }
        return copy(entries = entries.addAll(added), times = times.addAll(added.map { now }))
    }

    private fun read(state: LogState, stream: String, call: HttpCall): HttpEffect {
        val kept = state.streams[stream] ?: StreamState()
        val from = (call.query["from"]?.toLongOrNull() ?: 0).coerceIn(kept.earliest, kept.next)
        val start = (from - kept.earliest).toInt()
        val end = minOf(start + LARGEST_READ_RECORDS, kept.entries.size)
        val response = ReadResponse(
            entries = kept.entries.subList(start, end),
            next = kept.earliest + end,
            earliest = kept.earliest,
        )
        return HttpEffect.Respond(call.exchange, body = WireFormat.encodeToString(response))
    }

    private fun expire(state: LogState, now: Timestamp): LogState {
        val limit = now + -retentionMilliseconds
        val expiring = state.streams.filterValues { it.times.isNotEmpty() && it.times.first() < limit }
        return expiring.entries.fold(state) { reached, (name, stream) ->
            reached.copy(streams = reached.streams.put(name, stream.since(limit)))
        }
    }

    private fun StreamState.since(limit: Timestamp): StreamState {
        val expired = times.takeWhile { it < limit }.size
        return StreamState(
            earliest = earliest + expired,
            entries = entries.drop(expired).toPersistentList(),
            times = times.drop(expired).toPersistentList(),
        )
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L
        const val LARGEST_READ_RECORDS = 1_000
    }
}

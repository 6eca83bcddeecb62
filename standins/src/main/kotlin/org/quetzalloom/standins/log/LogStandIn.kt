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
import org.quetzalloom.standins.http.badRequest
import org.quetzalloom.standins.http.notFound
import org.quetzalloom.standins.http.parseOrNull
import org.quetzalloom.standins.http.unchanged
import org.quetzalloom.standins.http.with
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.platform.AppendRequest
import org.quetzalloom.wire.platform.AppendResponse
import org.quetzalloom.wire.platform.LogEntryDocument
import org.quetzalloom.wire.platform.ReadResponse

/**
 * A stream of the log.
 *
 * @property earliest the offset of the oldest record that is retained, or of the next record if none is.
 * @property entries the retained records, oldest first.
 * @property appendTimes the time when each of [entries] was appended.
 */
data class StreamState(
    val earliest: Long = 0,
    val entries: PersistentList<LogEntryDocument> = persistentListOf(),
    val appendTimes: PersistentList<Timestamp> = persistentListOf(),
) {
    /** The offset of the next record. */
    val next: Long get() = earliest + entries.size
}

/**
 * The state of the log.
 *
 * @property streams the streams, by name.
 * @property currentSecond the second of the last counted append, since the epoch.
 * @property appendsInSecond the number of appends to all streams in [currentSecond].
 */
data class LogState(
    val streams: PersistentMap<String, StreamState> = persistentMapOf(),
    val currentSecond: Long = 0,
    val appendsInSecond: Int = 0,
)

/**
 * A stand-in for the platform's append-only log: `POST /streams/{name}` appends, `GET /streams/{name}?from=` reads.
 *
 * A read returns at most 1,000 records. It starts at the offset `from`, or at the nearest offset that exists.
 *
 * @property appendsPerSecond the maximum number of append requests to all streams in a second; further ones get status
 *   429. Requests that are rejected or cannot be parsed do not count.
 * @property retentionMilliseconds the time after which records expire.
 */
class LogStandIn(
    private val appendsPerSecond: Int = 500,
    private val retentionMilliseconds: Long = 86_400_000,
) : StandIn<LogState> {
    override val initial: LogState = LogState()

    override fun reduce(state: LogState, event: HttpEvent, now: Timestamp): Transition<LogState, HttpEffect> =
        when (event) {
            is HttpEvent.RequestReceived -> handleRequest(state, event.call, now)
            is HttpEvent.Tick -> expire(state, now).unchanged()
            is HttpEvent.ClientDisconnected -> state.unchanged()
        }

    private fun handleRequest(state: LogState, call: HttpCall, now: Timestamp): Transition<LogState, HttpEffect> {
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
        val currentSecond = now.epochMilliseconds / MILLISECONDS_PER_SECOND
        val earlierAppends = if (currentSecond == state.currentSecond) state.appendsInSecond else 0
        val request = call.parseOrNull<AppendRequest>()
        val counted = state.copy(currentSecond = currentSecond, appendsInSecond = earlierAppends + 1)
        return when {
            earlierAppends >= appendsPerSecond -> state.with(HttpEffect.Respond(call.exchangeId, status = 429))
            request == null -> state.with(call.badRequest())
            else -> appendRecords(counted, stream, call, request, now)
        }
    }

    private fun appendRecords(
        state: LogState,
        stream: String,
        call: HttpCall,
        request: AppendRequest,
        now: Timestamp,
    ): Transition<LogState, HttpEffect> {
        val stored = state.streams[stream] ?: StreamState()
        val response = WireFormat.encodeToString(AppendResponse(stored.next))
        return state.copy(
            streams = state.streams.put(stream, stored.withRecords(request, now))
        ).with(HttpEffect.Respond(call.exchangeId, body = response))
    }

    private fun StreamState.withRecords(request: AppendRequest, now: Timestamp): StreamState {
        val added = request.records.mapIndexed { index, record ->
            LogEntryDocument(next + index, request.stamp, record)
        }
        return copy(entries = entries.addAll(added), appendTimes = appendTimes.addAll(added.map { now }))
    }

    private fun read(state: LogState, stream: String, call: HttpCall): HttpEffect {
        val stored = state.streams[stream] ?: StreamState()
        val from = (call.query["from"]?.toLongOrNull() ?: 0).coerceIn(stored.earliest, stored.next)
        val start = (from - stored.earliest).toInt()
        val end = minOf(start + MAXIMUM_RECORDS_PER_READ, stored.entries.size)
        val response = ReadResponse(
            entries = stored.entries.subList(start, end),
            next = stored.earliest + end,
            earliest = stored.earliest,
        )
        return HttpEffect.Respond(call.exchangeId, body = WireFormat.encodeToString(response))
    }

    private fun expire(state: LogState, now: Timestamp): LogState {
        val limit = now + -retentionMilliseconds
        val expiring = state.streams.filterValues { it.appendTimes.isNotEmpty() && it.appendTimes.first() < limit }
        return expiring.entries.fold(state) { current, (name, stream) ->
            current.copy(streams = current.streams.put(name, stream.withoutRecordsBefore(limit)))
        }
    }

    private fun StreamState.withoutRecordsBefore(limit: Timestamp): StreamState {
        val expired = appendTimes.takeWhile { it < limit }.size
        return StreamState(
            earliest = earliest + expired,
            entries = entries.drop(expired).toPersistentList(),
            appendTimes = appendTimes.drop(expired).toPersistentList(),
        )
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L
        const val MAXIMUM_RECORDS_PER_READ = 1_000
    }
}

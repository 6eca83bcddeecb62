package org.quetzalloom.daemon.platform

import io.ktor.client.request.get
import io.ktor.client.request.post
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.encodeToString
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.RequestClass
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.identity.WorkspaceId
import org.quetzalloom.core.log.LogEntry
import org.quetzalloom.core.log.LogStream
import org.quetzalloom.core.peer.VmListing
import org.quetzalloom.core.selection.Rating
import org.quetzalloom.core.selection.RatingSubject
import org.quetzalloom.daemon.RouterLoop
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.log.toDocument
import org.quetzalloom.wire.log.toRecord
import org.quetzalloom.wire.platform.AppendRequest
import org.quetzalloom.wire.platform.AppendResponse
import org.quetzalloom.wire.platform.LogEntryDocument
import org.quetzalloom.wire.platform.RatingDocument
import org.quetzalloom.wire.platform.RatingsResponse
import org.quetzalloom.wire.platform.ReadResponse
import org.quetzalloom.wire.platform.SampleRequest
import org.quetzalloom.wire.platform.VmsResponse

/**
 * Calls the platform's services and posts their responses, or that a call failed, to the loop. A submission for rating
 * that succeeds posts nothing.
 *
 * @property submitter identifies this start of this VM to the rating service.
 */
internal class PlatformClient(
    private val http: PlatformHttp,
    private val scope: CoroutineScope,
    private val loop: RouterLoop,
    private val addresses: PlatformAddresses,
    private val submitter: String,
) {
    /** Starts the call for [effect]. Does not wait for the response. */
    fun carryOut(effect: Effect.OfPlatform) {
        scope.launch {
            when (effect) {
                is Effect.OfPlatform.Append -> append(effect)
                is Effect.OfPlatform.Read -> read(effect)
                is Effect.OfPlatform.ListVms -> listVms()
                is Effect.OfPlatform.ReadRatings -> readRatings(effect)
                is Effect.OfPlatform.SubmitForRating -> submitSample(effect)
            }
        }
    }

    private suspend fun append(effect: Effect.OfPlatform.Append) {
        val request = AppendRequest(effect.stamp, effect.records.map { it.toDocument() })
        val event = http.callOrElse(fallback = Event.OfPlatform.LogAppendFailed(effect.append)) {
            val body = http.post(streamUrl(effect.stream), WireFormat.encodeToString(request))
            WireFormat.decodeFromString<AppendResponse>(body)
            Event.OfPlatform.LogAppended(effect.append)
        }
        loop.post(event)
    }

    private suspend fun read(effect: Effect.OfPlatform.Read) {
        val event = http.callOrElse(fallback = Event.OfPlatform.LogReadFailed(effect.stream)) {
            val response = WireFormat.decodeFromString<ReadResponse>(
                http.get("${streamUrl(effect.stream)}?from=${effect.from}")
            )
            val entries = response.entries.map { it.toEntry() }.toPersistentList()
            Event.OfPlatform.LogRead(effect.stream, entries, response.next, response.earliest)
        }
        loop.post(event)
    }

    private suspend fun listVms() {
        val event = http.callOrElse(fallback = Event.OfPlatform.PlatformCallFailed("vms")) {
            val response = WireFormat.decodeFromString<VmsResponse>(http.get("http://${addresses.vms}/vms"))
            Event.OfPlatform.VmsListed(response.vms.map { VmListing(VmId(it.vm), it.leaving) }.toPersistentList())
        }
        loop.post(event)
    }

    private suspend fun readRatings(effect: Effect.OfPlatform.ReadRatings) {
        val event = http.callOrElse(fallback = Event.OfPlatform.PlatformCallFailed("ratings")) {
            val url = "http://${addresses.ratings}/ratings?submitter=$submitter&from=${effect.from}"
            val response = WireFormat.decodeFromString<RatingsResponse>(http.get(url))
            Event.OfPlatform.RatingsRead(response.ratings.map { it.toRating() }.toPersistentList(), response.next)
        }
        loop.post(event)
    }

    private suspend fun submitSample(effect: Effect.OfPlatform.SubmitForRating) {
        val sample = SampleRequest(
            submitter = submitter,
            request = effect.request.value,
            workspace = effect.subject.workspace.value,
            requestClass = effect.subject.requestClass.value,
            version = effect.subject.version.value,
            answer = effect.answer,
        )
        val failure = http.callOrElse<Event?>(fallback = Event.OfPlatform.PlatformCallFailed("samples")) {
            http.post("http://${addresses.ratings}/samples", WireFormat.encodeToString(sample))
            null
        }
        failure?.let { loop.post(it) }
    }

    private fun streamUrl(stream: LogStream): String = "http://${addresses.log}/streams/${stream.name.lowercase()}"
}

private fun LogEntryDocument.toEntry(): LogEntry = LogEntry(offset, stamp, record.toRecord())

private fun RatingDocument.toRating(): Rating = Rating(
    subject = RatingSubject(WorkspaceId(workspace), RequestClass(requestClass), VersionId(version)),
    good = good,
)

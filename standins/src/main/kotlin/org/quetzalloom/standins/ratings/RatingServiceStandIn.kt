package org.quetzalloom.standins.ratings

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.encodeToString
import net.openhft.hashing.LongHashFunction
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
import org.quetzalloom.wire.platform.RatingDocument
import org.quetzalloom.wire.platform.RatingsResponse
import org.quetzalloom.wire.platform.SampleRequest

/** A rating, visible from [dueAt] on. */
data class PendingRating(val dueAt: Timestamp, val rating: RatingDocument)

/**
 * The state of the rating service.
 *
 * @property qualities the share of good answers, by version; 1.0 for a version that is absent.
 * @property ratings the ratings of each submitter's samples, in the order of the samples.
 */
data class RatingServiceState(
    val qualities: PersistentMap<String, Double> = persistentMapOf(),
    val ratings: PersistentMap<String, PersistentList<PendingRating>> = persistentMapOf(),
)

/**
 * A stand-in for the service that rates answers: `POST /samples` submits one, `GET /ratings` returns ratings.
 *
 * For tests, `PUT /qualities/{version}` with a number from 0.0 to 1.0 sets the share of answers that are rated good.
 *
 * @property lagMilliseconds the time from a sample until its rating is visible.
 * @property missingPercent the percentage of samples that are never rated.
 */
class RatingServiceStandIn(
    private val lagMilliseconds: Long = 1_000,
    private val missingPercent: Int = 10,
) : StandIn<RatingServiceState> {
    override val initial: RatingServiceState = RatingServiceState()

    override fun reduce(
        state: RatingServiceState,
        event: HttpEvent,
        now: Timestamp,
    ): Transition<RatingServiceState, HttpEffect> = when (event) {
        is HttpEvent.RequestReceived -> handleRequest(state, event.call, now)
        is HttpEvent.Tick, is HttpEvent.ClientDisconnected -> state.unchanged()
    }

    private fun handleRequest(
        state: RatingServiceState,
        call: HttpCall,
        now: Timestamp,
    ): Transition<RatingServiceState, HttpEffect> = when {
        call.matches("POST", "/samples") -> submitSample(state, call, now)
        call.matches("GET", "/ratings") -> state.with(ratings(state, call, now))
        call.method == "PUT" && call.path.startsWith(QUALITIES) -> setQuality(state, call)
        else -> state.with(call.notFound())
    }

    private fun submitSample(
        state: RatingServiceState,
        call: HttpCall,
        now: Timestamp,
    ): Transition<RatingServiceState, HttpEffect> {
        val sample = call.parseOrNull<SampleRequest>()
        return if (sample == null) state.with(call.badRequest()) else addRating(state, sample, call, now)
    }

    private fun addRating(
        state: RatingServiceState,
        sample: SampleRequest,
        call: HttpCall,
        now: Timestamp,
    ): Transition<RatingServiceState, HttpEffect> {
        val response = HttpEffect.Respond(call.exchangeId)
        if (hashFraction(sample.request, "missing") * PERCENT < missingPercent) return state.with(response)
        val good = hashFraction(sample.request, sample.version) < (state.qualities[sample.version] ?: 1.0)
        val rating = RatingDocument(sample.workspace, sample.requestClass, sample.version, good)
        val existing = state.ratings[sample.submitter] ?: persistentListOf()
        val updated = existing.add(PendingRating(now + lagMilliseconds, rating))
        return state.copy(ratings = state.ratings.put(sample.submitter, updated)).with(response)
    }

    private fun ratings(state: RatingServiceState, call: HttpCall, now: Timestamp): HttpEffect {
        val all = state.ratings[call.query["submitter"].orEmpty()] ?: persistentListOf()
        val from = call.query["from"]?.toIntOrNull()?.coerceIn(0, all.size) ?: 0
        val due = all.drop(from).takeWhile { it.dueAt <= now }
        val response = RatingsResponse(due.map { it.rating }, next = (from + due.size).toLong())
        return HttpEffect.Respond(call.exchangeId, body = WireFormat.encodeToString(response))
    }

    private fun setQuality(state: RatingServiceState, call: HttpCall): Transition<RatingServiceState, HttpEffect> {
        val quality = call.body.trim().toDoubleOrNull()?.takeIf { it in 0.0..1.0 }
            ?: return state.with(
                HttpEffect.Respond(call.exchangeId, status = 400, body = "the quality must be from 0.0 to 1.0"),
            )
        val version = call.path.removePrefix(QUALITIES)
        return state.copy(qualities = state.qualities.put(version, quality)).with(HttpEffect.Respond(call.exchangeId))
    }

    /** Returns a number from 0.0 to 1.0, exclusive, that depends on [request] and [purpose] only. */
    private fun hashFraction(request: String, purpose: String): Double =
        Math.floorMod(LongHashFunction.xx3().hashChars("$purpose:$request"), FRACTION_STEPS) / FRACTION_STEPS.toDouble()

    private companion object {
        const val QUALITIES = "/qualities/"
        const val PERCENT = 100
        const val FRACTION_STEPS = 1_000_000L
    }
}

package org.quetzalloom.core.selection

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterSettings
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.router.with
import org.quetzalloom.core.time.Timestamp

/**
 * Reads the ratings of this VM's samples and exchanges their sums with peers, so that all VMs estimate quality from the
 * ratings of all.
 */
internal object QualityPart : Part {
    private const val RATINGS_INTERVAL_MILLISECONDS = 1_000L

    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step = when (event) {
        is Event.Tick -> state.readRatings(now)
        is Event.OfPlatform.RatingsRead -> state.withRatings(event, now).unchanged()
        is Event.FromPeer -> state.withPeerSums(event).unchanged()
        else -> state.unchanged()
    }

    private fun RouterState.readRatings(now: Timestamp): Step {
        val last = quality.readAt
        if (last != null && now - last < RATINGS_INTERVAL_MILLISECONDS) return unchanged()
        val firstPeriod = settings.ratingPeriod(now) - settings.limits.ratingPeriods + 1
        return copy(quality = quality.withoutPeriodsBefore(firstPeriod).copy(readAt = now))
            .with(Effect.OfPlatform.ReadRatings(quality.nextOffset))
    }

    /** Returns the state with the ratings of [event] added, unless they were already added by an earlier read. */
    private fun RouterState.withRatings(event: Event.OfPlatform.RatingsRead, now: Timestamp): RouterState {
        if (event.next <= quality.nextOffset) return this
        val origin = RatingOrigin(settings.collector, settings.ratingPeriod(now))
        val counted = event.ratings.fold(quality) { updated, rating -> updated.plus(rating, origin) }
        return copy(quality = counted.copy(nextOffset = event.next))
    }

    private fun QualityState.plus(rating: Rating, origin: RatingOrigin): QualityState {
        val byOrigin = sums[rating.subject] ?: persistentMapOf()
        val single = QualityEstimate(good = if (rating.good) 1 else 0, rated = 1)
        val sum = (byOrigin[origin] ?: QualityEstimate()) + single
        return copy(sums = sums.put(rating.subject, byOrigin.put(origin, sum)))
    }

    private fun RouterState.withPeerSums(event: Event.FromPeer): RouterState {
        val message = event.message as? PeerMessage.TellRatings
        if (message == null || message.origin.collector == settings.collector) return this
        val merged = message.sums.entries.fold(quality) { updated, (subject, sum) ->
            updated.withLaterSum(subject, message.origin, sum)
        }
        return copy(quality = merged)
    }

    /** Returns the state with the later of [sum] and the known one: as sums of one origin only grow, the larger one. */
    private fun QualityState.withLaterSum(
        subject: RatingSubject,
        origin: RatingOrigin,
        sum: QualityEstimate,
    ): QualityState {
        val byOrigin = sums[subject] ?: persistentMapOf()
        val previousSum = byOrigin[origin]
        if (previousSum != null && previousSum.rated >= sum.rated) return this
        return copy(sums = sums.put(subject, byOrigin.put(origin, sum)))
    }
}

/** The name under which this process collects ratings: its VM and its incarnation. */
internal val RouterSettings.collector: String get() = "$vm:$incarnation"

/** Returns the number of the rating period at [now], counted from the Unix epoch. */
internal fun RouterSettings.ratingPeriod(now: Timestamp): Long =
    now.epochMilliseconds / limits.ratingPeriodMilliseconds

/** Returns the sums that this process has collected in the latest [PERIODS_SENT] periods, one message per period. */
internal fun QualityState.ownSums(settings: RouterSettings): List<PeerMessage.TellRatings> {
    val own = sums.flatMap { (subject, byOrigin) ->
        byOrigin.filterKeys { it.collector == settings.collector }.map { (origin, sum) -> Triple(origin, subject, sum) }
    }
    return own.groupBy { it.first }.toSortedMap(compareBy { it.period })
        .map { (origin, parts) ->
            PeerMessage.TellRatings(origin, parts.associate { it.second to it.third }.toPersistentMap())
        }
        .takeLast(PERIODS_SENT)
}

/** The number of rating periods that are sent to peers: the current one, and the one before it for late ratings. */
private const val PERIODS_SENT = 2

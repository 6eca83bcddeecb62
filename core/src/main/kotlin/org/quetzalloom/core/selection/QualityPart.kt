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

/** Collects ratings, and exchanges their sums with peers so that all VMs learn from all ratings. */
internal object QualityPart : Part {
    private const val RATINGS_INTERVAL_MILLISECONDS = 1_000L

    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step = when (event) {
        is Event.Tick -> state.askForRatings(now)
        is Event.OfPlatform.RatingsRead -> state.counted(event).unchanged()
        is Event.PeerTold -> state.told(event).unchanged()
        else -> state.unchanged()
    }

    private fun RouterState.askForRatings(now: Timestamp): Step {
        val last = quality.askedAt
        if (last != null && now - last < RATINGS_INTERVAL_MILLISECONDS) return unchanged()
        return copy(quality = quality.copy(askedAt = now)).with(Effect.OfPlatform.ReadRatings(quality.next))
    }

    /** Counts the ratings, unless a later read has already been counted. */
    private fun RouterState.counted(event: Event.OfPlatform.RatingsRead): RouterState {
        if (event.next <= quality.next) return this
        val counted = event.ratings.fold(quality) { reached, rating -> reached.plus(rating, settings.origin) }
        return copy(quality = counted.copy(next = event.next))
    }

    private fun QualityState.plus(rating: Rating, origin: String): QualityState {
        val byOrigin = sums[rating.subject] ?: persistentMapOf()
        val one = QualityEstimate(good = if (rating.good) 1 else 0, rated = 1)
        val sum = (byOrigin[origin] ?: QualityEstimate()) + one
        return copy(sums = sums.put(rating.subject, byOrigin.put(origin, sum)))
    }

    private fun RouterState.told(event: Event.PeerTold): RouterState {
        val message = event.message as? PeerMessage.TellRatings
        if (message == null || message.origin == settings.origin) return this
        val merged = message.sums.entries.fold(quality) { reached, (subject, sum) ->
            reached.merged(subject, message.origin, sum)
        }
        return copy(quality = merged)
    }

    /** Sums of one origin only grow, so the larger one is the later one. */
    private fun QualityState.merged(subject: RatingSubject, origin: String, sum: QualityEstimate): QualityState {
        val byOrigin = sums[subject] ?: persistentMapOf()
        val known = byOrigin[origin]
        if (known != null && known.rated >= sum.rated) return this
        return copy(sums = sums.put(subject, byOrigin.put(origin, sum)))
    }
}

/** Names one start of one VM, as the origin of ratings. */
internal val RouterSettings.origin: String get() = "$vm:$incarnation"

/** Returns the sums that this VM has collected, as a message. */
internal fun QualityState.ownSums(settings: RouterSettings): PeerMessage.TellRatings {
    val own = sums.mapNotNull { (subject, byOrigin) -> byOrigin[settings.origin]?.let { subject to it } }
    return PeerMessage.TellRatings(origin = settings.origin, sums = own.toMap().toPersistentMap())
}

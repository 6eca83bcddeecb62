package org.quetzalloom.core.relay.access

import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.time.Timestamp

/** The number of reads without an answer after which no further one is waited for. */
private const val MAXIMUM_UNANSWERED_READS = 2

/** The least time for which a read through another router waits, enough for that one to read the store. */
private const val LEAST_WAIT_MILLISECONDS = 100L

/** How much longer than its wait a read takes at most, if nothing is wrong. */
private const val USUAL_DELAY_MILLISECONDS = 100L

/**
 * Returns whether this router is to read [feed] from the store at [now] without any other router: what it knows grows
 * old, and the routers on which its last read depends have not answered.
 *
 * Routers that are cut off from some others can't know which ones answer. Each that they ask in vain costs the time of
 * a timeout, while the store would answer at once. Readers that answer, but with old records, are left to the checks of
 * the store: the store may be down, and a read by each router would be of no use.
 *
 * The read takes the present path to the store. If it is overdue on a detour, the next one is sent directly.
 */
internal fun RelayState.needsOwnRead(feed: Feed, now: Timestamp): Boolean {
    val cursor = feeds.of(feed)
    val failed = !cursor.readsStore &&
        (!cursor.reading && cursor.failures > 0 || cursor.unanswered > MAXIMUM_UNANSWERED_READS)
    return feed.continuous && isNearBound(feed, now) && !isReadingDirectly(feed) &&
        (failed || isAnswerOverdue(feed, now))
}

/** Returns whether a read of [feed] from the store is under way that depends on no other router. */
internal fun RelayState.isReadingDirectly(feed: Feed): Boolean =
    feeds.of(feed).let { it.readsStore && storePath.viaRouter == null && it.sentAt >= storePath.changedAt }

/**
 * Returns whether the read of [feed] from an offset that is under way at [now] seems to be held by the store, so that
 * the newest records are to be read in its place.
 *
 * A store that drops its history may leave reads from an offset unanswered for a second or more, while it answers all
 * other calls. Such a read can't be told from one whose response is lost, and the newest records serve in both cases.
 */
internal fun RelayState.isReadHeld(feed: Feed, now: Timestamp): Boolean {
    val cursor = feeds.of(feed)
    val age = feedAge(feed, now) ?: return false
    val delay = USUAL_DELAY_MILLISECONDS + minOf(feeds.store.delayMilliseconds, settings.longestDelayMilliseconds)
    val answerBy = cursor.sentAt + (cursor.waitMilliseconds + delay)
    return cursor.readsStore && !cursor.readsNewest && age >= settings.heldReadAgeMilliseconds && now > answerBy
}

/**
 * Returns how long a read of [feed] that is sent to another router at [now] waits for records, in milliseconds: less
 * than usual if what this router knows grows old, so that it can turn to the store in time if there is no answer.
 */
internal fun RelayState.readerWait(feed: Feed, now: Timestamp): Long {
    val left = settings.ownReadAgeMilliseconds - (feedAge(feed, now) ?: 0)
    val usual = settings.readerWaitMilliseconds
    return left.coerceIn(minOf(LEAST_WAIT_MILLISECONDS, usual), usual)
}

/**
 * Returns how long a read of [feed] that is sent to the store at [now] waits for records, in milliseconds: so much less
 * than usual that its answer arrives before what this router knows is too old to be passed on.
 */
internal fun RelayState.storeWait(feed: Feed, now: Timestamp): Long {
    val age = feedAge(feed, now) ?: 0
    val answerIn = settings.maximumAge(feed) - USUAL_DELAY_MILLISECONDS - age
    return minOf(settings.readWait(feed) - age, answerIn - feeds.store.delayMilliseconds).coerceAtLeast(0)
}

private fun RelayState.isNearBound(feed: Feed, now: Timestamp): Boolean =
    (feedAge(feed, now) ?: (now - (stop.startedAt ?: now))) >= settings.ownReadAgeMilliseconds

/** Returns whether the read of [feed] that is under way has taken longer than reads do if nothing is wrong. */
internal fun RelayState.isAnswerOverdue(feed: Feed, now: Timestamp): Boolean = feeds.of(feed).let {
    it.reading && now - it.sentAt > it.waitMilliseconds + USUAL_DELAY_MILLISECONDS
}

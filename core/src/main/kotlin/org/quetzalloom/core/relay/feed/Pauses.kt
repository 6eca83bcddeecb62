package org.quetzalloom.core.relay.feed

import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelaySettings
import org.quetzalloom.core.time.Timestamp

/** The backoff after the first failed read; it doubles with each further one. */
private const val FIRST_BACKOFF_MILLISECONDS = 100L

/** The maximum backoff, with which the readers call a store that is down no more often than one that answers. */
private const val MAXIMUM_BACKOFF_MILLISECONDS = 2_500L

/** The maximum backoff of feeds that are not read while the list of servers cannot be read. */
private const val MAXIMUM_OTHER_BACKOFF_MILLISECONDS = 1_000L

/** The maximum backoff of reads through other routers, which cost no call to the store. */
private const val MAXIMUM_READER_BACKOFF_MILLISECONDS = 500L

/** The pause between reads through another router, in which records that follow each other are collected. */
private const val READER_PAUSE_MILLISECONDS = 20L

/** Returns when to read next after [event]. A slow store does not make the reads of a feed less frequent. */
internal fun FeedCursor.nextReadAt(event: RelayEvent.FeedRead, settings: RelaySettings, now: Timestamp): Timestamp =
    when {
        event.throughReader -> now + READER_PAUSE_MILLISECONDS
        event.hasMore -> now
        else -> (if (reading) sentAt else now) + settings.readInterval(event.feed)
    }

/** Returns the pause from this failed read, after [failures] others, to the next one of its feed, in milliseconds. */
internal fun RelayEvent.FeedFailed.pause(failures: Int): Long = when {
    problem == FeedProblem.EXPIRED -> 0
    throughReader -> backoff(READER_PAUSE_MILLISECONDS, failures, MAXIMUM_READER_BACKOFF_MILLISECONDS)
    feed == Feed.SERVERS -> backoff(FIRST_BACKOFF_MILLISECONDS, failures, MAXIMUM_BACKOFF_MILLISECONDS)
    else -> backoff(FIRST_BACKOFF_MILLISECONDS, failures, MAXIMUM_OTHER_BACKOFF_MILLISECONDS)
}

private fun backoff(first: Long, failures: Int, maximum: Long): Long =
    (first shl failures.coerceAtMost(Byte.SIZE_BITS)).coerceAtMost(maximum)

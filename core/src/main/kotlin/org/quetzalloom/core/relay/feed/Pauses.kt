package org.quetzalloom.core.relay.feed

import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelaySettings
import org.quetzalloom.core.time.Timestamp

/** The backoff after the first failed read; it doubles with each further one. */
private const val FIRST_BACKOFF_MILLISECONDS = 100L

/**
 * The maximum backoff of reads of the store, with which two readers call a store that is down no more often than one
 * reads a store that answers. It is shorter than the time in which a router that reaches the store again has to catch
 * up.
 */
private const val MAXIMUM_BACKOFF_MILLISECONDS = 2_000L

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

/**
 * Returns the pause until the next read of the feed after this failed one and [failures] others, in milliseconds. It is
 * counted from the failure for reads through other routers, and from when the read was sent for those of the store.
 */
internal fun RelayEvent.FeedFailed.pause(failures: Int): Long = when {
    problem == FeedProblem.EXPIRED -> 0
    throughReader -> backoff(READER_PAUSE_MILLISECONDS, failures, MAXIMUM_READER_BACKOFF_MILLISECONDS)
    else -> storePause(failures)
}

/** Returns the pause between two reads of the store, the second of which follows [failures] other failed ones. */
internal fun storePause(failures: Int): Long =
    backoff(FIRST_BACKOFF_MILLISECONDS, failures, MAXIMUM_BACKOFF_MILLISECONDS)

private fun backoff(first: Long, failures: Int, maximum: Long): Long =
    (first shl failures.coerceAtMost(Byte.SIZE_BITS)).coerceAtMost(maximum)

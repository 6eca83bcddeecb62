package org.quetzalloom.core.relay.feed

import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelaySettings

/** The backoff after the first failed read; it doubles with each further one. */
private const val FIRST_BACKOFF_MILLISECONDS = 100L

/** The maximum backoff, with which the readers call a store that is down no more often than one that answers. */
private const val MAXIMUM_BACKOFF_MILLISECONDS = 2_000L

/** The maximum backoff of reads through other routers, which cost no call to the store. */
private const val MAXIMUM_READER_BACKOFF_MILLISECONDS = 500L

/** The pause between reads through another router, in which records that follow each other are collected. */
private const val READER_PAUSE_MILLISECONDS = 20L

/** Returns the pause from this read to the next one of its feed, in milliseconds. */
internal fun RelayEvent.FeedRead.pause(settings: RelaySettings): Long = when {
    throughReader -> READER_PAUSE_MILLISECONDS
    hasMore -> 0
    else -> settings.readInterval(feed)
}

/** Returns the pause from this failed read, after [failures] others, to the next one of its feed, in milliseconds. */
internal fun RelayEvent.FeedFailed.pause(failures: Int): Long = when {
    problem == FeedProblem.EXPIRED -> 0
    throughReader -> backoff(READER_PAUSE_MILLISECONDS, failures, MAXIMUM_READER_BACKOFF_MILLISECONDS)
    else -> backoff(FIRST_BACKOFF_MILLISECONDS, failures, MAXIMUM_BACKOFF_MILLISECONDS)
}

private fun backoff(first: Long, failures: Int, maximum: Long): Long =
    (first shl failures.coerceAtMost(Byte.SIZE_BITS)).coerceAtMost(maximum)

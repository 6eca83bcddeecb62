package org.quetzalloom.core.relay.feed

import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.access.isAnswerOverdue
import org.quetzalloom.core.relay.access.isReadingDirectly
import org.quetzalloom.core.relay.access.needsOwnRead
import org.quetzalloom.core.relay.access.readerOrNull
import org.quetzalloom.core.relay.rollout.rolloutsWithLostPhases
import org.quetzalloom.core.time.Timestamp

/** How long a router that starts waits to learn of others through which it can read. */
private const val MEMBERS_WAIT_MILLISECONDS = 300L

/** Returns whether this router follows [feed] at [now]. */
internal fun RelayState.isWanted(feed: Feed, now: Timestamp): Boolean = !awaitsMembers(now) &&
    (feed != Feed.STATUS || followsRollouts(now) || readers.isAskedFor(feed, now))

private fun RelayState.followsRollouts(now: Timestamp): Boolean =
    rollouts.active.isNotEmpty() || rolloutsWithLostPhases(now).isNotEmpty()

/** Returns whether [feed] may be read from the store at [now]. */
internal fun RelayState.mayReadStore(feed: Feed, now: Timestamp): Boolean =
    now >= feeds.of(feed).storeDueAt && (!feeds.store.isAway || isNextProbe(feed, now))

/**
 * While the store seems to be away, one read at a time is enough to see that it is back. The feeds that need the store
 * take turns, so that none depends on whether another can be read.
 */
private fun RelayState.isNextProbe(feed: Feed, now: Timestamp): Boolean =
    now >= feeds.store.probeAt && Feed.entries.none { isReadingStore(it, now) } &&
        Feed.entries.filter { needsStore(it, now) }.minByOrNull { feeds.of(it).sentAt } == feed

private fun RelayState.isReadingStore(feed: Feed, now: Timestamp): Boolean =
    isReadingDirectly(feed) || feeds.of(feed).readsStore && !isAnswerOverdue(feed, now)

private fun RelayState.needsStore(feed: Feed, now: Timestamp): Boolean {
    val cursor = feeds.of(feed)
    val needsRead = now >= cursor.dueAt && (cursor.readStore || readerOrNull(now) == null)
    return now >= cursor.storeDueAt && isWanted(feed, now) && (needsRead || needsOwnRead(feed, now))
}

private fun RelayState.awaitsMembers(now: Timestamp): Boolean = members.sortedMembers.isEmpty() &&
    members.failures == 0 && now - (stop.startedAt ?: now) < MEMBERS_WAIT_MILLISECONDS

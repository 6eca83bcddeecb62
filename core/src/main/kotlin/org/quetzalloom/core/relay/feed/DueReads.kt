package org.quetzalloom.core.relay.feed

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.access.needsStoreCheck
import org.quetzalloom.core.relay.access.provenReaderOrNull
import org.quetzalloom.core.relay.access.readerOrNull
import org.quetzalloom.core.relay.access.readsForOthers
import org.quetzalloom.core.time.Timestamp

/** How long a router that starts waits to learn of others through which it can read. */
private const val MEMBERS_WAIT_MILLISECONDS = 300L

/** Returns whether [feed] is to be read at [now]. */
internal fun RelayState.isReadDue(feed: Feed, now: Timestamp): Boolean {
    val cursor = feeds.of(feed)
    val mayRead = now >= cursor.dueAt && !isBusy(cursor, now) && isWanted(feed, now)
    val throughReader = !cursor.readStore && readerOrNull(now) != null
    return mayRead && (throughReader || mayReadStore(feed, now))
}

private fun RelayState.isWanted(feed: Feed, now: Timestamp): Boolean = !awaitsMembers(now) &&
    (feed != Feed.STATUS || rollouts.active.isNotEmpty() || readers.isAskedFor(feed, now))

private fun RelayState.mayReadStore(feed: Feed, now: Timestamp): Boolean =
    now >= feeds.of(feed).storeDueAt && (!feeds.store.isAway || isNextProbe(feed, now))

/**
 * While the store seems to be away, one read at a time is enough to see that it is back. The feeds that need the store
 * take turns, so that none depends on whether another can be read.
 */
private fun RelayState.isNextProbe(feed: Feed, now: Timestamp): Boolean =
    now >= feeds.store.probeAt && feeds.cursors.values.none { it.readsStore } &&
        Feed.entries.filter { needsStore(it, now) }.minByOrNull { feeds.of(it).sentAt } == feed

private fun RelayState.needsStore(feed: Feed, now: Timestamp): Boolean {
    val cursor = feeds.of(feed)
    return now >= maxOf(cursor.dueAt, cursor.storeDueAt) && isWanted(feed, now) &&
        (cursor.readStore || readerOrNull(now) == null)
}

private fun RelayState.isBusy(cursor: FeedCursor, now: Timestamp): Boolean =
    cursor.reading && !(cursor.reader != null && mayGiveUp(cursor.reader, now))

/** A router does not wait for a reader that has failed others, or if it has old records and knows of newer ones. */
private fun RelayState.mayGiveUp(reader: VmId, now: Timestamp): Boolean {
    val newer = if (needsStoreCheck(now)) provenReaderOrNull(now) else null
    return readsForOthers(now) || newer != null && newer != reader
}

private fun RelayState.awaitsMembers(now: Timestamp): Boolean = members.sortedMembers.isEmpty() &&
    members.failures == 0 && now - (stop.startedAt ?: now) < MEMBERS_WAIT_MILLISECONDS

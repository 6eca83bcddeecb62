package org.quetzalloom.core.relay.feed

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.access.isReadHeld
import org.quetzalloom.core.relay.access.needsOwnRead
import org.quetzalloom.core.relay.access.needsStoreCheck
import org.quetzalloom.core.relay.access.provenReaderOrNull
import org.quetzalloom.core.relay.access.readerOrNull
import org.quetzalloom.core.relay.access.readsForOthers
import org.quetzalloom.core.time.Timestamp

/** Returns whether [feed] is to be read at [now]. */
internal fun RelayState.isReadDue(feed: Feed, now: Timestamp): Boolean {
    val isDue = now >= feeds.of(feed).dueAt || isOwnReadDue(feed, now) || isReadHeld(feed, now)
    val mayRead = isDue && !isBusy(feed, now) && isWanted(feed, now)
    return mayRead && (readerOrNull(feed, now) != null || mayReadStore(feed, now))
}

/** Returns the router through which [feed] is to be read at [now], or `null` if it is to be read from the store. */
internal fun RelayState.readerOrNull(feed: Feed, now: Timestamp): VmId? =
    if (feeds.of(feed).readStore || isOwnReadDue(feed, now) || isReadHeld(feed, now)) null else readerOrNull(now)

/** Returns whether [feed] is to be read from the store at [now] without any other router. */
internal fun RelayState.isOwnReadDue(feed: Feed, now: Timestamp): Boolean =
    needsOwnRead(feed, now) && mayReadStore(feed, now)

private fun RelayState.isBusy(feed: Feed, now: Timestamp): Boolean {
    val cursor = feeds.of(feed)
    val reader = cursor.reader
    return cursor.reading && !(reader != null && mayGiveUp(reader, now)) &&
        !isOwnReadDue(feed, now) && !isReadHeld(feed, now)
}

/** A router does not wait for a reader that has failed others, or if it has old records and knows of newer ones. */
private fun RelayState.mayGiveUp(reader: VmId, now: Timestamp): Boolean {
    val newer = if (needsStoreCheck(now)) provenReaderOrNull(now) else null
    return readsForOthers(now) || newer != null && newer != reader
}

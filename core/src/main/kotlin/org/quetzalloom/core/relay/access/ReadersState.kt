package org.quetzalloom.core.relay.access

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedBuffer
import org.quetzalloom.core.time.Timestamp

/**
 * The reading of the store through other routers, and for them.
 *
 * @property suspicions the routers that lately failed as readers.
 * @property buffers what has been read of each feed.
 * @property failedAt when the store last failed to answer a read of each feed, here or at the reader.
 * @property askedAt when another router last asked for each feed.
 * @property waiting the calls of other routers that have not been answered.
 */
internal data class ReadersState(
    val suspicions: PersistentMap<VmId, Suspicion> = persistentMapOf(),
    val buffers: PersistentMap<Feed, FeedBuffer> = persistentMapOf(),
    val failedAt: PersistentMap<Feed, Timestamp> = persistentMapOf(),
    val askedAt: PersistentMap<Feed, Timestamp> = persistentMapOf(),
    val waiting: PersistentList<WaitingCall> = persistentListOf(),
) {
    /** Returns whether another router has asked for [feed] shortly before [now]. */
    fun isAskedFor(feed: Feed, now: Timestamp): Boolean =
        askedAt[feed]?.let { now - it <= ACTING_MILLISECONDS } ?: false

    /** Returns whether another router has asked for any feed shortly before [now]. */
    fun isAsked(now: Timestamp): Boolean = Feed.entries.any { isAskedFor(it, now) }

    private companion object {
        /** How long a router reads the store after it was last asked. Its callers ask several times in this time. */
        const val ACTING_MILLISECONDS = 3_000L
    }
}

/**
 * Why a router is not used as a reader for a while.
 *
 * @property feed the feed of which it failed to give recent records.
 * @property answers whether it answers, but with records that are too old.
 * @property until the time until which it is used only if there is no other.
 */
internal data class Suspicion(val feed: Feed, val answers: Boolean, val until: Timestamp)

/**
 * A call of another router that waits for records.
 *
 * @property call the number of the call.
 * @property from the offset up to which the caller has read [feed], or `null` if it has read nothing.
 * @property until when the call is answered at the latest.
 * @property beganRecent whether the records were recent when the call came.
 * @property era the era of the store to which [from] belongs; 0 if it is not known.
 */
internal data class WaitingCall(
    val call: Long,
    val feed: Feed,
    val from: Long?,
    val until: Timestamp,
    val beganRecent: Boolean,
    val era: Long = 0,
)

package org.quetzalloom.core.relay.feed

import kotlinx.collections.immutable.PersistentList

/**
 * What a router answers another one that reads a feed through it.
 *
 * @property records the records that the caller lacks, of each key the newest if [snapshot] is set.
 * @property nextOffset the offset from which to read on.
 * @property snapshot whether the caller is to forget keys that are not in [records].
 * @property ageMilliseconds how long ago the store was read.
 * @property storeFailedMillisecondsAgo how long ago a read of the feed last failed, or `null` if none has lately.
 * @property tooLarge whether the caller is to read the store instead, as the records are too large to be passed on.
 * @property generation the last known generation of the group of routers.
 * @property era the era of the store to which the offsets belong; 0 if it is not known.
 */
public data class FeedAnswer(
    public val records: PersistentList<FeedRecord>,
    public val nextOffset: Long,
    public val snapshot: Boolean,
    public val ageMilliseconds: Long,
    public val storeFailedMillisecondsAgo: Long?,
    public val generation: Long,
    public val tooLarge: Boolean = false,
    public val era: Long = 0,
)

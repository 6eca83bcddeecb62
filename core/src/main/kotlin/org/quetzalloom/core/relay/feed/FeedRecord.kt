package org.quetzalloom.core.relay.feed

/**
 * A record of a feed as the store keeps it.
 *
 * @property key the key of the record, of which a feed keeps the newest record.
 * @property offset the position of the record in the feed.
 * @property content the bytes of the record, or `null` if it removes the key.
 * @property entry what the record says, or `null` if a router has no use for it.
 */
public data class FeedRecord(
    public val key: String,
    public val offset: Long,
    public val content: RecordContent?,
    public val entry: FeedEntry?,
)

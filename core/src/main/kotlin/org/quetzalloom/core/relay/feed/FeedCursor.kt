package org.quetzalloom.core.relay.feed

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.time.Timestamp

/**
 * The position up to which a feed has been read, and the schedule of its reads.
 *
 * @property nextOffset the offset to read from, or `null` to read a snapshot: the newest record of each key.
 * @property reading whether a read is under way.
 * @property dueAt the earliest time of the next read.
 * @property failures the number of failed reads since the last successful one.
 * @property storeFailures the number of failed reads of the store since the last successful read.
 * @property storeDueAt the earliest time of the next read of the store; see [StoreAccess] for what the other feeds add.
 * @property readAt the time of which the records read last tell the state, or `null` before the first time. Through a
 *   reader, that is when the reader read them.
 * @property sentAt when the last read was sent.
 * @property waitMilliseconds how long the last read may have waited for records.
 * @property readStore whether the next read goes to the store, as the reader has records that are too large to be
 *   passed on.
 * @property reader the router through which the last read was sent, or `null` if it was sent to the store.
 * @property number the number of the last read.
 * @property readsNewest whether the last read asked for the newest record of each key rather than from an offset.
 * @property unanswered the number of reads sent since the last one that gave records or said that there are none.
 */
internal data class FeedCursor(
    val nextOffset: Long? = null,
    val reading: Boolean = false,
    val dueAt: Timestamp = Timestamp.EPOCH,
    val failures: Int = 0,
    val storeFailures: Int = 0,
    val storeDueAt: Timestamp = Timestamp.EPOCH,
    val readAt: Timestamp? = null,
    val sentAt: Timestamp = Timestamp.EPOCH,
    val waitMilliseconds: Long = 0,
    val readStore: Boolean = false,
    val reader: VmId? = null,
    val number: Long = 0,
    val readsNewest: Boolean = false,
    val unanswered: Int = 0,
) {
    /** Whether a read of the store is under way. */
    val readsStore: Boolean get() = reading && reader == null

    /** Returns whether [event] is the result of the last read, rather than of an abandoned one. */
    fun expects(event: RelayEvent.FeedRead): Boolean = expects(event.number, event.throughReader)

    /** Returns whether [event] is the result of the last read, rather than of an abandoned one. */
    fun expects(event: RelayEvent.FeedFailed): Boolean = expects(event.number, event.throughReader)

    private val RelayEvent.FeedRead.isEmpty: Boolean get() = records.isEmpty() && entries.isEmpty()

    private fun expects(number: Long?, throughReader: Boolean): Boolean =
        throughReader == (reader != null) && (number ?: this.number) == this.number

    /**
     * Returns the cursor after [event], the result of a read that was given up. It does not bring back an offset whose
     * records have expired meanwhile.
     */
    fun afterGivenUpRead(event: RelayEvent.FeedRead): FeedCursor = when {
        event.tooLarge || nextOffset == null && !event.snapshot -> this
        else -> copy(nextOffset = maxOf(nextOffset ?: 0, event.nextOffset))
    }

    /**
     * Returns how long the store took for [event], beyond the wait of the read, in milliseconds, or `null` if it can't
     * be told, as the records may have come at any moment of the wait.
     */
    fun delayOrNull(event: RelayEvent.FeedRead, now: Timestamp): Long? =
        if (reading && (event.isEmpty || waitMilliseconds == 0L)) {
            (now - sentAt - waitMilliseconds).coerceAtLeast(0)
        } else {
            null
        }

    /**
     * Returns the time of which [event] tells the state when it arrives at [now].
     *
     * A result may arrive late. One without records was sent at the end of the wait, and any other may have been sent
     * as soon as the read arrived.
     */
    fun stateTime(event: RelayEvent.FeedRead, now: Timestamp): Timestamp {
        val waited = if (event.isEmpty) waitMilliseconds else 0
        return (if (reading) minOf(now, sentAt + waited) else now) + -event.ageMilliseconds
    }
}

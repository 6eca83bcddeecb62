package org.quetzalloom.core.time

/**
 * An instant on the clock of one process, in milliseconds since the Unix epoch.
 *
 * Two timestamps of different processes are not ordered by cause; see
 * [org.quetzalloom.core.timeline.CausalStamp] for that.
 *
 * @property epochMilliseconds milliseconds since 1970-01-01T00:00Z; may be negative.
 */
@JvmInline
public value class Timestamp(public val epochMilliseconds: Long) : Comparable<Timestamp> {
    /** Returns the timestamp [milliseconds] after this one; a negative number goes back. */
    public operator fun plus(milliseconds: Long): Timestamp = Timestamp(epochMilliseconds + milliseconds)

    /** Returns the milliseconds from [earlier] to this one; negative when [earlier] is in fact later. */
    public operator fun minus(earlier: Timestamp): Long = epochMilliseconds - earlier.epochMilliseconds

    override fun compareTo(other: Timestamp): Int = epochMilliseconds.compareTo(other.epochMilliseconds)

    override fun toString(): String = epochMilliseconds.toString()

    public companion object {
        /** The Unix epoch. */
        public val EPOCH: Timestamp = Timestamp(0)
    }
}

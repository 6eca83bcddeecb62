package org.quetzalloom.core.time

/**
 * An instant on the clock of one process, in milliseconds since the Unix epoch.
 *
 * The order of timestamps of different processes says nothing about cause and effect; see
 * [org.quetzalloom.core.timeline.CausalStamp].
 *
 * @property epochMilliseconds milliseconds since 1970-01-01T00:00Z; may be negative.
 */
@JvmInline
public value class Timestamp(public val epochMilliseconds: Long) : Comparable<Timestamp> {
    /** Returns the timestamp [milliseconds] after this one, or before it if the number is negative. */
    public operator fun plus(milliseconds: Long): Timestamp = Timestamp(epochMilliseconds + milliseconds)

    /** Returns the milliseconds from [earlier] to this timestamp, negative if [earlier] is the later one. */
    public operator fun minus(earlier: Timestamp): Long = epochMilliseconds - earlier.epochMilliseconds

    override fun compareTo(other: Timestamp): Int = epochMilliseconds.compareTo(other.epochMilliseconds)

    override fun toString(): String = epochMilliseconds.toString()

    public companion object {
        /** The Unix epoch. */
        public val EPOCH: Timestamp = Timestamp(0)
    }
}

package org.quetzalloom.core.relay.feed

/** The bytes of a record. Immutable; only the platform's codecs know their meaning. */
public class RecordContent(bytes: ByteArray) {
    private val bytes = bytes.copyOf()

    /** The number of bytes. */
    public val size: Int get() = bytes.size

    /** Returns a copy of the bytes. */
    public fun toByteArray(): ByteArray = bytes.copyOf()

    override fun equals(other: Any?): Boolean = other is RecordContent && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()
}

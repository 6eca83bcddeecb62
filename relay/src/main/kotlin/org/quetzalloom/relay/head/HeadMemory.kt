package org.quetzalloom.relay.head

/** Counts the memory that the heads and trailers of messages take while they are received and used. */
internal interface HeadMemory {
    /** Counts that a head takes [bytes] more. Throws a [HeadMemoryException] if there is no room for them. */
    fun reserve(bytes: Int)

    /** Counts that a head takes [bytes] less. */
    fun release(bytes: Int)

    /** Memory that is not counted, for copies that exist only while a message is written. */
    object Uncounted : HeadMemory {
        override fun reserve(bytes: Int): Unit = Unit

        override fun release(bytes: Int): Unit = Unit
    }
}

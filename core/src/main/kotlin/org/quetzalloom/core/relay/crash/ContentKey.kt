package org.quetzalloom.core.relay.crash

import org.quetzalloom.core.router.stableHash

/** Identifies something that requests may have in common: a part of their prompts, or all that they ask for. */
@JvmInline
public value class ContentKey(public val value: String) : Comparable<ContentKey> {
    override fun compareTo(other: ContentKey): Int = value.compareTo(other.value)

    override fun toString(): String = value

    public companion object {
        /** Returns the key of the part [id] of a prompt. A long id, which callers choose, is replaced by its hash. */
        public fun ofPart(id: String): ContentKey {
            val short = if (id.length <= MAXIMUM_ID_LENGTH) id else "#${stableHash(id).toULong().toString(HEXADECIMAL)}"
            return ContentKey("part:$short")
        }

        /** Returns the key of all requests with the content hash [hash]. */
        public fun ofContent(hash: Long): ContentKey = ContentKey("content:${hash.toULong().toString(HEXADECIMAL)}")

        private const val HEXADECIMAL = 16

        /** Keys travel in datagrams. */
        private const val MAXIMUM_ID_LENGTH = 24
    }
}

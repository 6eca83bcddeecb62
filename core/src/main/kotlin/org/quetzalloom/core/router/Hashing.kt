package org.quetzalloom.core.router

import net.openhft.hashing.LongHashFunction

/**
 * Returns the hash of the text forms of [parts], joined by NUL characters.
 *
 * All routers must compute the same hash, so a changed `toString()` of a part changes what they choose.
 */
internal fun stableHash(vararg parts: Any): Long =
    LongHashFunction.xx3().hashChars(parts.joinToString(separator = "\u0000"))

/**
 * Returns the item that rendezvous hashing picks for [subject], or `null` if [items] is empty.
 *
 * When an item joins or leaves, only the subjects that it wins or loses change their item.
 */
internal fun <T : Any> rendezvousOrNull(items: Iterable<T>, subject: Any): T? =
    items.maxByOrNull { stableHash(subject, it) }

/** Returns the bucket of [subject], from 0 until [bound]. The same subject and bound always give the same bucket. */
internal fun bucketOf(subject: Any, bound: Int): Int = Math.floorMod(stableHash(subject), bound.toLong()).toInt()

package org.quetzalloom.core.router

import net.openhft.hashing.LongHashFunction

/** Returns a hash of [parts] that is the same in every process. */
internal fun stableHash(vararg parts: Any): Long =
    LongHashFunction.xx3().hashChars(parts.joinToString(separator = "\u0000"))

/** Returns the item that ranks highest for [subject]; few subjects move when an item joins or leaves. */
internal fun <T : Any> rendezvousOrNull(items: Iterable<T>, subject: Any): T? =
    items.maxByOrNull { stableHash(subject, it) }

/** Returns a number from 0 until [bound] that [subject] alone decides. */
internal fun bucketOf(subject: Any, bound: Int): Int = Math.floorMod(stableHash(subject), bound.toLong()).toInt()

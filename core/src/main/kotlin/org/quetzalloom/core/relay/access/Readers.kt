package org.quetzalloom.core.relay.access

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.router.stableHash
import org.quetzalloom.core.time.Timestamp

/**
 * The number of readers with old records that are tried: the acting one and its standby. If both have old records, the
 * store is probably down, and more callers would not help.
 */
private const val MAXIMUM_OLD_READERS = 2

/**
 * Returns [members] in the order in which they are used as readers. When a router joins or leaves, the others keep
 * their order, so that the acting reader changes only if the new one comes first.
 */
internal fun readerOrder(members: Collection<VmId>): PersistentList<VmId> =
    members.sortedWith(compareBy({ stableHash(it, "reader") }, { it })).toPersistentList()

/**
 * Returns the router through which this one reads the store at [now], or `null` if it reads directly.
 *
 * That is the first one in the order of readers that has not failed lately. A router reads directly if it is the first
 * itself, if others read through it, or if no other router answers.
 */
internal fun RelayState.readerOrNull(now: Timestamp): VmId? {
    if (readsForOthers(now)) return null
    val candidates = members.readerOrder.filter { it == settings.vm || !members.addresses[it].isNullOrEmpty() }
    val old = candidates.filter { suspicionOrNull(it, now)?.answers ?: false }.take(MAXIMUM_OLD_READERS)
    val first = candidates.firstOrNull { suspicionOrNull(it, now) == null }
    val afterOld = old.size == MAXIMUM_OLD_READERS &&
        (first == null || candidates.indexOf(first) > candidates.indexOf(old.last()))
    val chosen = if (first == null || afterOld) old.minByOrNull { suspicionOrNull(it, now)?.until ?: now } else first
    return chosen?.takeIf { it != settings.vm }
}

/** Returns whether other routers read through this one, and its own reads of the store do not fail. */
internal fun RelayState.readsForOthers(now: Timestamp): Boolean =
    readers.isAsked(now) && suspicionOrNull(settings.vm, now) == null

/** Returns whether this router reads the store for others, or comes first in the order of readers. */
internal fun RelayState.isActingReader(now: Timestamp): Boolean =
    readsForOthers(now) || members.readerOrder.firstOrNull() == settings.vm

/** Returns why [vm] is not used as a reader at [now], or `null` if it may be used. */
internal fun RelayState.suspicionOrNull(vm: VmId, now: Timestamp): Suspicion? =
    readers.suspicions[vm]?.takeIf { now < it.until }

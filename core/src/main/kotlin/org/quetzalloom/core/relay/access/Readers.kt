package org.quetzalloom.core.relay.access

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.router.stableHash
import org.quetzalloom.core.time.Timestamp

/**
 * The number of readers with old records that are asked: the acting one and its standby. If both have old records, the
 * store may be down, so that others are asked only if they have read it, see [isStoreCheckDue].
 */
internal const val MAXIMUM_OLD_READERS: Int = 2

/**
 * Returns [members] in the order in which they are used as readers. When a router joins or leaves, the others keep
 * their order, so that the acting reader changes only if the new one comes first.
 */
internal fun readerOrder(members: Collection<VmId>): PersistentList<VmId> =
    members.sortedWith(compareBy({ stableHash(it, "reader") }, { it })).toPersistentList()

/**
 * Returns the router through which this one reads the store at [now], or `null` if it reads directly.
 *
 * That is the first one in the order of readers that has not failed lately. If that one would be asked in vain, has not
 * given recent records for long, or if others have been silent, it is the first one that is known to have read the
 * store. A router reads directly if it is that one itself, if others read through it, or if no other router answers.
 */
internal fun RelayState.readerOrNull(now: Timestamp): VmId? {
    if (readsForOthers(now)) return null
    val candidates = readerCandidates()
    val old = candidates.filter { suspicionOrNull(it, now)?.answers ?: false }.take(MAXIMUM_OLD_READERS)
    val first = candidates.firstOrNull { suspicionOrNull(it, now) == null }
    val afterOld = old.size == MAXIMUM_OLD_READERS &&
        (first == null || candidates.indexOf(first) > candidates.indexOf(old.last()))
    val usual = first.takeUnless { afterOld }
    val proven = when {
        usual == null || needsStoreCheck(now) -> provenReaderOrNull(now)
        hasSilentReaders(now) -> provenReaderOrNull(now).takeUnless { it == settings.vm }
        else -> null
    }
    val chosen = proven ?: usual ?: old.minByOrNull { suspicionOrNull(it, now)?.until ?: now }
    return chosen?.takeIf { it != settings.vm }
}

/** Returns the first router in the order of readers that has not failed lately, and is known to have read the store. */
internal fun RelayState.provenReaderOrNull(now: Timestamp): VmId? =
    readerCandidates().firstOrNull { hasReadStore(it, now) && suspicionOrNull(it, now) == null }

private fun RelayState.hasSilentReaders(now: Timestamp): Boolean =
    readers.suspicions.values.any { !it.answers && now < it.until }

private fun RelayState.readerCandidates(): List<VmId> =
    members.readerOrder.filter { it == settings.vm || !members.addresses[it].isNullOrEmpty() }

/** Returns whether [vm] has read the store lately, and, if the records of this router are old, after they were read. */
private fun RelayState.hasReadStore(vm: VmId, now: Timestamp): Boolean {
    val readAt = if (vm == settings.vm) feeds.store.readAt else peers.lastBeacons[vm]?.storeReadAt
    val maximum = if (needsStoreCheck(now)) settings.storeCheckAgeMilliseconds else settings.changeBoundMilliseconds
    return readAt != null && now - readAt < maximum
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

package org.quetzalloom.core.billing

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.membership.livePeers
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.stableHash
import org.quetzalloom.core.time.Timestamp

private const val BACKUP_COUNT = 2

/**
 * Returns the peers that hold copies of this VM's bills, at most [BACKUP_COUNT] of them.
 *
 * Peers in other availability zones come first. The order among equals is a stable hash, so the peers stay the same as
 * long as they are live.
 */
internal fun RouterState.billBackups(now: Timestamp): List<VmId> = livePeers(now)
    .sortedWith(compareBy({ settings.fleet[it] == settings.zone }, { stableHash("bills", settings.vm, it) }))
    .take(BACKUP_COUNT)

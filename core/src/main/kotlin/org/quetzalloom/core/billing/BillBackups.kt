package org.quetzalloom.core.billing

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.membership.livePeers
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.stableHash
import org.quetzalloom.core.time.Timestamp

private const val BACKUP_COUNT = 2

/** Returns the peers that keep this VM's bills: other availability zones first, always the same while they live. */
internal fun RouterState.billBackups(now: Timestamp): List<VmId> = livePeers(now)
    .sortedWith(compareBy({ settings.fleet[it] == settings.zone }, { stableHash("bills", settings.vm, it) }))
    .take(BACKUP_COUNT)

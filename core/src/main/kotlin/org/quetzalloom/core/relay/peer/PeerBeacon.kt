package org.quetzalloom.core.relay.peer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.crash.CrashReport
import org.quetzalloom.core.relay.server.LeavingReport

/**
 * The message that a router sends to the other routers at short intervals.
 *
 * @property vm the VM of the sender.
 * @property sequence the number of the beacon, which rises within one run of the sender.
 * @property work the prompts that servers have still to read for [vm], in tokens weighted by model size; servers
 *   without such work are left out, and those with little work if there are too many for one beacon.
 * @property rollouts the reports of the roll-outs that [vm] knows to be in progress.
 * @property crashes the reports about the content of requests under which backend servers were lost lately; if there
 *   are too many for one beacon, some are left to the next ones.
 * @property durations how long work takes at servers that have told [vm] so since its last beacon, in percent of the
 *   usual duration; if there are too many for one beacon, some are left out.
 * @property leaving servers that shut down, as [vm] knows; if there are too many for one beacon, some are left to the
 *   next ones.
 * @property callerPort the port at which [vm] takes over requests, or `null` if it takes over none now.
 * @property storeReadMillisecondsAgo how long ago [vm] last read a feed from the store, or `null` if it has not lately.
 */
public data class PeerBeacon(
    public val vm: VmId,
    public val sequence: Long,
    public val work: PersistentMap<BackendServerId, Long>,
    public val rollouts: PersistentList<RolloutReport> = persistentListOf(),
    public val crashes: PersistentList<CrashReport> = persistentListOf(),
    public val durations: PersistentMap<BackendServerId, Int> = persistentMapOf(),
    public val leaving: PersistentList<LeavingReport> = persistentListOf(),
    public val callerPort: Int? = null,
    public val storeReadMillisecondsAgo: Long? = null,
)

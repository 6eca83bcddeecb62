package org.quetzalloom.core.relay.peer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId

/**
 * What a router tells the others now and then.
 *
 * @property sequence rises with each beacon of one start of a router.
 * @property work the prompts that servers have still to read for [vm], weighed by model; only those that are not 0.
 * @property rollouts the roll-outs that [vm] knows and that have not ended.
 */
public data class PeerBeacon(
    public val vm: VmId,
    public val sequence: Long,
    public val work: PersistentMap<BackendServerId, Long>,
    public val rollouts: PersistentList<RolloutReport> = persistentListOf(),
)

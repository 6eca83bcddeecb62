package org.quetzalloom.core.relay.peer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.rollout.OutcomeSums
import org.quetzalloom.core.relay.routing.ServiceName

/**
 * A router's report to the other routers about a roll-out in progress.
 *
 * @property version the version that the service's traffic moves to.
 * @property ageMilliseconds the time since the order was first read, as far as the sender knows.
 * @property old the outcomes of the old versions at the sender.
 * @property new the outcomes of the new version at the sender.
 * @property condemned whether the sender knows the new version to be bad.
 * @property proposal the number of the sender's open proposal to complete the roll-out, or `null` if there is none.
 * @property agreement the number of the proposal that the sender agrees to, or `null` if it agrees to none.
 * @property agreedWith the router that made the proposal of [agreement], or `null` if there is none.
 * @property oldSessions hashes of canary sessions that run on an old version; if there are too many for one beacon,
 *   some are left to the next ones.
 * @property heavySessions hashes of the few canary sessions that went back to the old version, as they sent too much.
 * @property newSessions the requests that the sender has sent to the new version for those canary sessions, by their
 *   hashes, for which it has sent most.
 */
public data class RolloutReport(
    public val service: ServiceName,
    public val version: String,
    public val ageMilliseconds: Long,
    public val old: OutcomeSums,
    public val new: OutcomeSums,
    public val condemned: Boolean,
    public val proposal: Long? = null,
    public val agreement: Long? = null,
    public val agreedWith: VmId? = null,
    public val oldSessions: PersistentList<Int> = persistentListOf(),
    public val heavySessions: PersistentList<Int> = persistentListOf(),
    public val newSessions: PersistentMap<Int, Int> = persistentMapOf(),
)

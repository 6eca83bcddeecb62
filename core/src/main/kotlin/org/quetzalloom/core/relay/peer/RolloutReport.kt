package org.quetzalloom.core.relay.peer

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
)

package org.quetzalloom.core.relay.peer

import org.quetzalloom.core.relay.rollout.OutcomeSums
import org.quetzalloom.core.relay.routing.ServiceName

/**
 * What a router tells the others of a roll-out that has not ended.
 *
 * @property version the version that the service's traffic moves to.
 * @property ageMilliseconds the time since the order was first seen by the teller, or by a router that told it.
 * @property old the teller's own outcomes of the versions before.
 * @property new the teller's own outcomes of the new version.
 * @property condemned whether the teller has found the new version bad.
 */
public data class RolloutReport(
    public val service: ServiceName,
    public val version: String,
    public val ageMilliseconds: Long,
    public val old: OutcomeSums,
    public val new: OutcomeSums,
    public val condemned: Boolean,
)

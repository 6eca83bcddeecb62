package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.relay.routing.ServiceName

/**
 * An operator's order to move all traffic of a service to one version of its software.
 *
 * @property durationMilliseconds the time after the order within which the roll-out must be completed or reverted.
 */
public data class RolloutOrder(
    public val service: ServiceName,
    public val version: String,
    public val durationMilliseconds: Long,
)

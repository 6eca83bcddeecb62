package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.relay.routing.ServiceName

/**
 * The wish to move all traffic of a service to one version of its software.
 *
 * @property durationMilliseconds the time, from the order on, in which it is to be completed or reverted.
 */
public data class RolloutOrder(
    public val service: ServiceName,
    public val version: String,
    public val durationMilliseconds: Long,
)

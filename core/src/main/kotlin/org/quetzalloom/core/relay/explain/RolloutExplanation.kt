package org.quetzalloom.core.relay.explain

import org.quetzalloom.core.relay.rollout.RolloutPhase

/**
 * What a router knows of the roll-out of a service.
 *
 * @property version the version that the service's traffic moves to.
 * @property phase the phase in the store, or `null` while none is known.
 * @property ageMilliseconds the time since the order was first read.
 * @property share the share of requests that the new version gets, from 0 to 1.
 * @property sessionOnOld whether a router has said that the request's session runs on an old version.
 */
public data class RolloutExplanation(
    public val version: String,
    public val phase: RolloutPhase?,
    public val ageMilliseconds: Long,
    public val share: Double,
    public val condemned: Boolean,
    public val sessionOnOld: Boolean,
)

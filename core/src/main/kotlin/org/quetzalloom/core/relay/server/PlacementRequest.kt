package org.quetzalloom.core.relay.server

import org.quetzalloom.core.identity.AvailabilityZoneId

/**
 * What a placement may depend on.
 *
 * @property subject the part of the prompt that backend servers should keep together, or `null`.
 * @property seed differs from attempt to attempt.
 * @property zone the availability zone of this router.
 */
public data class PlacementRequest(
    public val subject: String?,
    public val seed: String,
    public val zone: AvailabilityZoneId,
)

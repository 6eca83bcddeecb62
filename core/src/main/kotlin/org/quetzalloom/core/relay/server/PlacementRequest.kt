package org.quetzalloom.core.relay.server

import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.relay.exchange.PromptPart

/**
 * What a placement may depend on.
 *
 * @property sharedPart the part of the prompt that backend servers should keep together, or `null`.
 * @property work the prompt to read, weighed by the model; 0 if the request is not for a model.
 * @property seed differs from attempt to attempt.
 * @property zone the availability zone of this router.
 */
public data class PlacementRequest(
    public val sharedPart: PromptPart?,
    public val work: Long,
    public val seed: String,
    public val zone: AvailabilityZoneId,
)

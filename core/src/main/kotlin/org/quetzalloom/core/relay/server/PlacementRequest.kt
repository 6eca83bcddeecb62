package org.quetzalloom.core.relay.server

import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.relay.exchange.PromptPart

/**
 * What a placement may know of the attempt to place.
 *
 * @property sharedPart the part of the prompt whose requests should share a backend server, or `null` for none.
 * @property work the prompt to read, in tokens weighted by model size; 0 if the request is not for a model.
 * @property generationWork the time that the response takes to generate, in the same unit as [work].
 * @property seed the seed of random choices, which differs from attempt to attempt.
 * @property zone the availability zone of this router.
 */
public data class PlacementRequest(
    public val sharedPart: PromptPart?,
    public val work: Long,
    public val seed: String,
    public val zone: AvailabilityZoneId,
    public val generationWork: Long = 0,
)

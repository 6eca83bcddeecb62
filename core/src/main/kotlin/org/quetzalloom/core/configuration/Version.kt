package org.quetzalloom.core.configuration

import org.quetzalloom.core.identity.VersionId

/**
 * A version of a model or of a plain service.
 *
 * @property model the name of the model or service that this is a version of.
 * @property costMicros the price of 1,000 generated tokens (engine) or of 1,000 calls (service),
 *   in millionths of the currency unit.
 * @property expectedQuality the share of good answers to expect before there are ratings, 0.0 to 1.0; the prior of
 *   quality estimates.
 * @property withdrawn whether the version receives no new requests.
 */
public data class Version(
    public val id: VersionId,
    public val model: String,
    public val kind: VersionKind,
    public val costMicros: Long,
    public val expectedQuality: Double,
    public val withdrawn: Boolean = false,
)

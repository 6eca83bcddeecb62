package org.quetzalloom.core.selection

import org.quetzalloom.core.configuration.Version

/** A version that a request may run on, with what is known of its quality for requests of this kind. */
public data class VersionOption(
    public val version: Version,
    public val estimate: QualityEstimate,
)

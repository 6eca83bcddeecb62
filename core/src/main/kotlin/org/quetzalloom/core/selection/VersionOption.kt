package org.quetzalloom.core.selection

import org.quetzalloom.core.configuration.Version

/** A version that a request may run on, with the estimate of its quality for the request's workspace and class. */
public data class VersionOption(
    public val version: Version,
    public val estimate: QualityEstimate,
)

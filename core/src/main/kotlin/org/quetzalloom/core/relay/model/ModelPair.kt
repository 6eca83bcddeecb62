package org.quetzalloom.core.relay.model

/** A model and the one that was asked after it for the same request, by their names. */
public data class ModelPair(public val first: String, public val second: String)

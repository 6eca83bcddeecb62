package org.quetzalloom.core.relay.exchange

/** A part of a prompt, which requests may share; they name it by the same [id]. */
public data class PromptPart(public val id: String, public val tokens: Int)

package org.quetzalloom.core.relay.exchange

/** A part of a prompt. Requests whose prompts share a part use the same [id] for it. */
public data class PromptPart(public val id: String, public val tokens: Int)

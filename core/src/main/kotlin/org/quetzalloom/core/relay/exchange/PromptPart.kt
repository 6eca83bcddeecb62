package org.quetzalloom.core.relay.exchange

/**
 * A part of a prompt. Requests whose prompts share a part use the same [id] for it.
 *
 * @throws IllegalArgumentException if [tokens] is negative.
 */
public data class PromptPart(public val id: String, public val tokens: Int) {
    init {
        require(tokens >= 0) { "a part of $tokens tokens" }
    }
}

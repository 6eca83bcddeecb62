package org.quetzalloom.core.relay.exchange

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * What the router needs to know of a request for its decisions. The message itself stays outside the reducer.
 *
 * @property callerId the id that the caller gave the request, or `null` if it gave none.
 * @property key the caller's API key, or `null` if it sent none.
 * @property timeLeftMilliseconds how long the caller will still wait, or `null` if it did not say.
 * @property routerChoosesModel whether the request is for a model and leaves the choice of the model to the router.
 * @property prompt the parts of the prompt, in order.
 * @property promptTokens the length of the prompt; 0 if the request is not for a model.
 * @property outputTokens the maximum number of tokens to generate; 0 if the request is not for a model.
 * @property lengthHint the caller's estimate of the number of tokens to generate, or `null` if it gave none.
 * @property session the id of the session that the request belongs to, or `null` if it belongs to none.
 * @property lastEventId the id of the event after which the caller wants to resume a stream, or `null` to start it.
 * @property contentHash a hash of all that the request asks for and of who asks, the same for each time that a request
 *   is sent again; `null` if it is not known.
 * @property earlierRuns the number of times that the request may have run before another router handed it over, or
 *   `null` if it comes from its caller.
 * @throws IllegalArgumentException if a number of tokens is negative.
 */
public data class RelayRequest(
    public val callerId: String?,
    public val host: String,
    public val path: String,
    public val key: String? = null,
    public val timeLeftMilliseconds: Long? = null,
    public val routerChoosesModel: Boolean = false,
    public val prompt: PersistentList<PromptPart> = persistentListOf(),
    public val promptTokens: Int = 0,
    public val outputTokens: Int = 0,
    public val session: String? = null,
    public val lastEventId: String? = null,
    public val contentHash: Long? = null,
    public val lengthHint: Int? = null,
    public val earlierRuns: Int? = null,
) {
    init {
        require(promptTokens >= 0 && outputTokens >= 0) { "$promptTokens tokens in, $outputTokens out" }
    }

    /** The expected number of tokens to generate: the caller's estimate, or the maximum without one. */
    public val expectedOutputTokens: Int
        get() = lengthHint?.coerceAtMost(outputTokens) ?: outputTokens

    /**
     * The last part of the prompt that other requests may share: the second to last, as the last one is the request's
     * own. Returns the only part of a prompt of one part, and `null` if there is no prompt.
     */
    public val sharedPartOrNull: PromptPart?
        get() = if (prompt.size >= 2) prompt[prompt.size - 2] else prompt.lastOrNull()

    /** The parts of the prompt that other requests may share: all but the last one, in order. */
    internal val sharedParts: List<PromptPart>
        get() = prompt.dropLast(1)
}

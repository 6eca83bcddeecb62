package org.quetzalloom.core.relay.exchange

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * What a relay must know of a request to decide about it. Its head and body stay with the process.
 *
 * @property callerId the caller's own id of the request, or `null` if it gave none.
 * @property key the key of the caller, or `null`.
 * @property timeLeftMilliseconds how long the caller will wait from now on, or `null` if it did not say.
 * @property routerChoosesModel whether the request is for a model, and leaves it open which.
 * @property prompt the parts of the prompt, in order.
 * @property promptTokens the length of the prompt; 0 if it is not for a model.
 * @property outputTokens the most tokens to generate; 0 if it is not for a model.
 * @property session names the session that the request belongs to, or `null`.
 * @property lastEventId where the caller wants a stream to go on, or `null` for its start.
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
) {
    /** The last part of the prompt that other requests share, or `null`; the last part is the request's own. */
    public val sharedPartOrNull: PromptPart?
        get() = if (prompt.size >= 2) prompt[prompt.size - 2] else prompt.lastOrNull()
}

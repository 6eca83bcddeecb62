package org.quetzalloom.core.request

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.ledger.CommandId
import org.quetzalloom.core.session.SessionKey
import org.quetzalloom.core.time.Timestamp

/**
 * A request that has arrived and is not answered yet.
 *
 * @property version the version that it runs on.
 * @property pinned whether its session or its caller decided the version.
 * @property command the command that it is, or `null` where it may be repeated.
 * @property fencing the fencing number, once its intent has won.
 * @property tried the backend servers at which it failed.
 * @property tries the attempts made.
 * @property mayHaveRun whether any attempt may have run.
 * @property begun whether the caller was sent the beginning of the answer.
 * @property delivered the tokens that the caller was sent.
 * @property trialFrom the tokens that had been delivered when the request was suspected.
 * @property answer the answer so far, where it is needed later.
 * @property callerLeft whether nobody waits for the answer any more.
 */
internal data class ActiveRequest(
    val id: RequestId,
    val call: CallerRequest,
    val fingerprint: Fingerprint,
    val arrivedAt: Timestamp,
    val phase: Phase,
    val version: VersionId,
    val pinned: Boolean = false,
    val command: CommandId? = null,
    val fencing: Long? = null,
    val failedServers: PersistentSet<BackendServerId> = persistentSetOf(),
    val attemptCount: Int = 0,
    val mayHaveRun: Boolean = false,
    val answerStarted: Boolean = false,
    val deliveredTokens: Int = 0,
    val tokensAtSuspicion: Int = 0,
    val answer: PersistentList<String> = persistentListOf(),
    val callerLeft: Boolean = false,
) {
    val deadline: Timestamp get() = arrivedAt + call.timeoutMilliseconds

    val sessionKey: SessionKey? get() = call.session?.let { SessionKey(call.workspace, it) }

    /** Names what is billed: the key where the caller gave one, so that re-sends are one request. */
    val billIdentity: String get() = call.key?.let { "key:${call.workspace}/$it" } ?: "request:$id"
}

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
 * A request that was admitted and whose answer is not complete yet.
 *
 * @property arrivedAt the time at which this VM received it; its deadline counts from here.
 * @property version the version that it runs on.
 * @property pinned whether [version] is the version of its session; the answer then carries a session token.
 * @property command the identity of a call that must not be repeated, or `null` where the request may be repeated.
 * @property fencing the fencing number: the log offset of its intent, or `null` until the intent is read back.
 * @property failedServers the backend servers at which an attempt failed; a retry avoids them if it can.
 * @property attemptCount the number of attempts started, including one that is running.
 * @property mayHaveRun whether any failed attempt may have been executed.
 * @property answerStarted whether the start of the answer was sent to the caller.
 * @property deliveredTokens the number of tokens sent to the caller; a retry resumes after them.
 * @property tokensAtSuspicion the value of [deliveredTokens] when a backend server went down under this request.
 * @property answer the text of the answer so far, or empty where neither an outcome nor a rating needs it.
 * @property callerLeft whether the caller has disconnected, or was refused at the deadline; nothing more is sent to it.
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

    /**
     * The identity under which the request is billed. It is the idempotency key if there is one, so that a call that
     * the caller sends again is billed once; otherwise it is the id of the request.
     */
    val billIdentity: String get() = call.key?.let { "key:${call.workspace}/$it" } ?: "request:$id"
}

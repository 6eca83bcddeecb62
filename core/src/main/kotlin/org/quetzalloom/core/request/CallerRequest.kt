package org.quetzalloom.core.request

import org.quetzalloom.core.identity.IdempotencyKey
import org.quetzalloom.core.identity.RequestClass
import org.quetzalloom.core.identity.SessionId
import org.quetzalloom.core.identity.WorkspaceId

/**
 * A request as the caller sent it, independent of its encoding.
 *
 * @property workspace the tenant that sends the request and is billed for it.
 * @property timeoutMilliseconds the time from arrival to the deadline of the answer.
 * @property body the body, forwarded unchanged.
 * @property requestClass the kind of work, for which the quality of each version is estimated separately.
 * @property session the session that the request belongs to, or `null`.
 * @property sessionToken the signed token from an earlier answer of the same session, or `null`.
 * @property key the idempotency key, or `null`. A call that must not be repeated runs at most once per key.
 */
public data class CallerRequest(
    public val workspace: WorkspaceId,
    public val target: Target,
    public val timeoutMilliseconds: Long,
    public val body: String = "",
    public val requestClass: RequestClass = RequestClass.DEFAULT,
    public val priority: Priority = Priority.NORMAL,
    public val session: SessionId? = null,
    public val sessionToken: String? = null,
    public val key: IdempotencyKey? = null,
)

package org.quetzalloom.core.request

import org.quetzalloom.core.identity.IdempotencyKey
import org.quetzalloom.core.identity.RequestClass
import org.quetzalloom.core.identity.SessionId
import org.quetzalloom.core.identity.WorkspaceId

/**
 * A request as a caller made it, free of any encoding.
 *
 * @property session the session that the request belongs to, or `null`.
 * @property sessionToken the token from an earlier answer of the same session, or `null`.
 * @property key the key under which the request runs at most once, or `null`.
 * @property timeoutMilliseconds the time from arrival until the caller no longer wants the answer.
 * @property body the body, passed on as it is.
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

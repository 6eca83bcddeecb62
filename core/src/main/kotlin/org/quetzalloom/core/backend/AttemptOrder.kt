package org.quetzalloom.core.backend

import org.quetzalloom.core.identity.AttemptId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.request.Priority
import org.quetzalloom.core.request.Target

/**
 * What a backend server is asked to do.
 *
 * @property address host and port of the backend server.
 * @property resumeFrom the tokens of the answer that the caller already has.
 * @property fencing the fencing number, or `null` where the call may be repeated.
 * @property scope the command that [fencing] belongs to, or `null` where the call may be repeated.
 */
public data class AttemptOrder(
    public val attempt: AttemptId,
    public val server: BackendServerId,
    public val address: String,
    public val version: VersionId,
    public val target: Target,
    public val body: String,
    public val priority: Priority,
    public val resumeFrom: Int,
    public val fencing: Long?,
    public val scope: String?,
)

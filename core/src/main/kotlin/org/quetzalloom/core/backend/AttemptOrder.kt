package org.quetzalloom.core.backend

import org.quetzalloom.core.identity.AttemptId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.request.Priority
import org.quetzalloom.core.request.Target

/**
 * What the router sends to a backend server for one attempt to run the request of a caller.
 *
 * @property address host and port of the backend server.
 * @property resumeFrom the number of tokens that the caller has received; the answer continues after them.
 * @property fencing the fencing number of the command, or `null` where the request may be repeated.
 * @property scope the command that [fencing] applies to, or `null` where the request may be repeated.
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

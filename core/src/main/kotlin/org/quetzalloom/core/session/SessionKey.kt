package org.quetzalloom.core.session

import org.quetzalloom.core.identity.SessionId
import org.quetzalloom.core.identity.WorkspaceId

/** Names one session of the fleet. */
internal data class SessionKey(
    val workspace: WorkspaceId,
    val session: SessionId,
) {
    override fun toString(): String = "$workspace/$session"
}

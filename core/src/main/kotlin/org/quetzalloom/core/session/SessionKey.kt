package org.quetzalloom.core.session

import org.quetzalloom.core.identity.SessionId
import org.quetzalloom.core.identity.WorkspaceId

/** Identifies a session across the fleet; session ids are unique only within their workspace. */
internal data class SessionKey(
    val workspace: WorkspaceId,
    val session: SessionId,
) {
    override fun toString(): String = "$workspace/$session"
}

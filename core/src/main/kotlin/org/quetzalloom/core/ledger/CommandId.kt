package org.quetzalloom.core.ledger

import org.quetzalloom.core.identity.IdempotencyKey
import org.quetzalloom.core.identity.WorkspaceId

/** Identifies a call that must not be repeated, across all its re-sends. */
public data class CommandId(
    public val workspace: WorkspaceId,
    public val key: IdempotencyKey,
) {
    override fun toString(): String = "$workspace/$key"
}

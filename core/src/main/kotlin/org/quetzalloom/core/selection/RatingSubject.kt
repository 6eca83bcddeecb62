package org.quetzalloom.core.selection

import org.quetzalloom.core.identity.RequestClass
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.identity.WorkspaceId

/** What quality is estimated for. */
public data class RatingSubject(
    public val workspace: WorkspaceId,
    public val requestClass: RequestClass,
    public val version: VersionId,
)

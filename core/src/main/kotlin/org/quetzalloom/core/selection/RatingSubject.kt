package org.quetzalloom.core.selection

import org.quetzalloom.core.identity.RequestClass
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.identity.WorkspaceId

/** The requests for which quality is estimated: those of one class in one workspace that ran on one version. */
public data class RatingSubject(
    public val workspace: WorkspaceId,
    public val requestClass: RequestClass,
    public val version: VersionId,
)

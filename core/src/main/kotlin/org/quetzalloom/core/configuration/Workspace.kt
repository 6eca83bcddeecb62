package org.quetzalloom.core.configuration

import kotlinx.collections.immutable.PersistentSet
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.identity.WorkspaceId

/**
 * A customer of the router, with the versions that its requests may use.
 *
 * @property allowed the versions that its requests may run on.
 * @property qualityTarget the share of answers that must be rated good, 0.0 to 1.0.
 */
public data class Workspace(
    public val id: WorkspaceId,
    public val allowed: PersistentSet<VersionId>,
    public val qualityTarget: Double,
)

package org.quetzalloom.core.configuration

import kotlinx.collections.immutable.PersistentSet
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.identity.WorkspaceId

/**
 * A customer of the router.
 *
 * @property allowed the versions that its requests may run on.
 * @property qualityTarget the share of answers, 0.0 to 1.0, that should be rated good; the choice of versions aims at
 *   it.
 */
public data class Workspace(
    public val id: WorkspaceId,
    public val allowed: PersistentSet<VersionId>,
    public val qualityTarget: Double,
)

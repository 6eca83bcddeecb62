package org.quetzalloom.core.session

import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.time.Timestamp

/** The version of a session, and when it was last used here. */
internal data class SessionAssignment(
    val version: VersionId,
    val usedAt: Timestamp,
)

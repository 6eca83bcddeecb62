package org.quetzalloom.core.session

import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.time.Timestamp

/**
 * The version that a session is assigned to.
 *
 * @property usedAt the time of the last request or message about the session at this VM; the assignment expires some
 *   time after it.
 */
internal data class SessionAssignment(
    val version: VersionId,
    val usedAt: Timestamp,
)

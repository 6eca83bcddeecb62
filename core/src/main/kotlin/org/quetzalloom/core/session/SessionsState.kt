package org.quetzalloom.core.session

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.time.Timestamp

/**
 * The state owned by [SessionsPart].
 *
 * @property assignments the versions assigned to the sessions that this VM knows.
 * @property sweptAt the time when expired assignments were last removed, or `null` before the first time.
 */
internal data class SessionsState(
    val assignments: PersistentMap<SessionKey, SessionAssignment> = persistentMapOf(),
    val sweptAt: Timestamp? = null,
)

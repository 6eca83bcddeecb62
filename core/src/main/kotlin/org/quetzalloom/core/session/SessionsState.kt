package org.quetzalloom.core.session

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.time.Timestamp

/**
 * The slice of [SessionsPart].
 *
 * @property assignments the versions of the sessions known here.
 * @property sweptAt when old assignments were last forgotten.
 */
internal data class SessionsState(
    val assignments: PersistentMap<SessionKey, SessionAssignment> = persistentMapOf(),
    val sweptAt: Timestamp? = null,
)

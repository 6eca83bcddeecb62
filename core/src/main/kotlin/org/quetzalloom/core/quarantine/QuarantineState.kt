package org.quetzalloom.core.quarantine

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.request.Fingerprint

/**
 * The state owned by [QuarantinePart].
 *
 * @property suspicions the requests under which a backend server went down, by the fingerprint of their content.
 */
internal data class QuarantineState(
    val suspicions: PersistentMap<Fingerprint, Suspicion> = persistentMapOf(),
)

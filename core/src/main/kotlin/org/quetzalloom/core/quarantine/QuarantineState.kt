package org.quetzalloom.core.quarantine

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.request.Fingerprint

/** The slice of [QuarantinePart]: requests that took down a backend server. */
internal data class QuarantineState(
    val suspicions: PersistentMap<Fingerprint, Suspicion> = persistentMapOf(),
)

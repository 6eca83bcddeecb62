package org.quetzalloom.standins.fault

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.standins.http.HttpEffect

/** The state of a stand-in with its fault switches, and the answers that are held back. */
data class FaultyState<S : Any>(
    val inner: S,
    val faults: Faults = Faults(),
    val held: PersistentList<HeldEffect> = persistentListOf(),
)

/** An effect that is carried out at [dueAt]. */
data class HeldEffect(val dueAt: Timestamp, val effect: HttpEffect)

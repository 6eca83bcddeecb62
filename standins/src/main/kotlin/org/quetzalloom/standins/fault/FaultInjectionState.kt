package org.quetzalloom.standins.fault

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.standins.http.HttpEffect

/** The state of a stand-in with fault injection: that of the stand-in, the faults, and the delayed effects. */
data class FaultInjectionState<S : Any>(
    val inner: S,
    val faults: Faults = Faults(),
    val delayed: PersistentList<DelayedEffect> = persistentListOf(),
)

/** An effect to carry out at [dueAt]. */
data class DelayedEffect(val dueAt: Timestamp, val effect: HttpEffect)

package org.quetzalloom.core.drain

import org.quetzalloom.core.time.Timestamp

/**
 * The slice of [DrainPart].
 *
 * @property since when the VM was asked to stop, or `null`.
 * @property stopped whether the stop was reported.
 */
internal data class DrainState(
    val since: Timestamp? = null,
    val stopped: Boolean = false,
)

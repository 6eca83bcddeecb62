package org.quetzalloom.core.drain

import org.quetzalloom.core.time.Timestamp

/**
 * The state owned by [DrainPart].
 *
 * @property since the time at which the drain started, or `null` if the VM was not asked to shut down.
 * @property stopped whether the drain is complete and the process was told to stop.
 */
internal data class DrainState(
    val since: Timestamp? = null,
    val stopped: Boolean = false,
)

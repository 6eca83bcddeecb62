package org.quetzalloom.core.relay.stop

import org.quetzalloom.core.time.Timestamp

/**
 * How far the graceful stop is.
 *
 * @property requestedAt when it was asked for, or `null`.
 * @property ready whether new connections are wanted, as last declared; `null` before the first time.
 * @property finished whether the process has been told to end.
 */
internal data class StopState(
    val requestedAt: Timestamp? = null,
    val ready: Boolean? = null,
    val finished: Boolean = false,
)

package org.quetzalloom.core.relay.stop

import org.quetzalloom.core.time.Timestamp

/**
 * The progress of a graceful stop, and the readiness for new connections.
 *
 * @property startedAt when the first tick occurred, or `null` before it.
 * @property accepting whether callers' connections are accepted.
 * @property requestedAt when the stop was requested, or `null` if it was not.
 * @property ready the readiness that was last set, or `null` before the first time.
 * @property finished whether the process has been asked to end.
 */
internal data class StopState(
    val startedAt: Timestamp? = null,
    val accepting: Boolean = false,
    val requestedAt: Timestamp? = null,
    val ready: Boolean? = null,
    val finished: Boolean = false,
)

package org.quetzalloom.core.relay.access

import org.quetzalloom.core.time.Timestamp

/**
 * How this router reaches the platform's store.
 *
 * @property through the `host:port` of the router that passes calls on, or `null` while the store is called directly.
 * @property failures calls that failed in a row since the path was last changed.
 * @property turns how often the path was changed.
 * @property directAt when the store is called directly again.
 */
internal data class AccessState(
    val viaRouter: String? = null,
    val failures: Int = 0,
    val turns: Int = 0,
    val directAt: Timestamp = Timestamp.EPOCH,
)

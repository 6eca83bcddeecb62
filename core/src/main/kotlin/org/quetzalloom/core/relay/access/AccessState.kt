package org.quetzalloom.core.relay.access

import org.quetzalloom.core.time.Timestamp

/**
 * How this router reaches the platform's store.
 *
 * @property viaRouter the `host:port` of the router that passes calls on, or `null` while the store is called directly.
 * @property failures calls that failed in a row since the path was last changed.
 * @property pathChanges how often the path was changed.
 * @property directRetryAt when the store is called directly again.
 */
internal data class AccessState(
    val viaRouter: String? = null,
    val failures: Int = 0,
    val pathChanges: Int = 0,
    val directRetryAt: Timestamp = Timestamp.EPOCH,
)

package org.quetzalloom.core.relay.access

import org.quetzalloom.core.time.Timestamp

/**
 * The path by which this router reaches the platform's store.
 *
 * @property viaRouter the `host:port` of the router that forwards the calls, or `null` while the store is called
 *   directly.
 * @property failures the number of failed calls in a row that count against the present path.
 * @property pathChanges the number of changes of the path.
 * @property changedAt when the path last changed. Calls that were sent before tell nothing of it.
 * @property directRetryAt when the store is to be called directly again.
 */
internal data class StorePathState(
    val viaRouter: String? = null,
    val failures: Int = 0,
    val pathChanges: Int = 0,
    val changedAt: Timestamp = Timestamp.EPOCH,
    val directRetryAt: Timestamp = Timestamp.EPOCH,
)

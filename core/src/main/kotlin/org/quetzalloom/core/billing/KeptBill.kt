package org.quetzalloom.core.billing

import org.quetzalloom.core.time.Timestamp

/**
 * The copy of a peer's bill, held until the bill is known to be in the log.
 *
 * @property receivedAt the time at which this VM received it.
 * @property appended whether this VM has queued it for the log, in place of its owner.
 */
internal data class KeptBill(
    val bill: Bill,
    val receivedAt: Timestamp,
    val appended: Boolean = false,
)

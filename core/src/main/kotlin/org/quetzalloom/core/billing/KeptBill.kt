package org.quetzalloom.core.billing

import org.quetzalloom.core.time.Timestamp

/** A bill of a peer that is kept here since [since], until it is known to be in the log. */
internal data class KeptBill(
    val bill: Bill,
    val since: Timestamp,
    val appended: Boolean = false,
)

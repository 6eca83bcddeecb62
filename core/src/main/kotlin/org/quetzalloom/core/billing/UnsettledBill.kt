package org.quetzalloom.core.billing

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp

/**
 * A bill of this VM that is not known to be in the log.
 *
 * @property issuedAt the time at which the bill was issued.
 * @property sentTo the backup peers that it was last sent to; empty before the first time.
 * @property sentAt the time at which it was last sent to them.
 * @property confirmedBy the peers that have confirmed that they hold a copy.
 */
internal data class UnsettledBill(
    val bill: Bill,
    val issuedAt: Timestamp,
    val sentTo: PersistentSet<VmId> = persistentSetOf(),
    val sentAt: Timestamp = issuedAt,
    val confirmedBy: PersistentSet<VmId> = persistentSetOf(),
) {
    /** Whether the bill was sent to backup peers and each of them has confirmed it. */
    val isReplicated: Boolean get() = sentTo.isNotEmpty() && confirmedBy.containsAll(sentTo)
}

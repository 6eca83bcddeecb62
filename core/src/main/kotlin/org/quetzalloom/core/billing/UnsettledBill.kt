package org.quetzalloom.core.billing

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp

/**
 * A bill of this VM that is not known to be in the log.
 *
 * @property sentTo the peers that were last asked to keep a copy.
 * @property sentAt when that was.
 * @property keptBy the peers that keep one.
 */
internal data class UnsettledBill(
    val bill: Bill,
    val since: Timestamp,
    val sentTo: PersistentSet<VmId> = persistentSetOf(),
    val sentAt: Timestamp = since,
    val confirmedBy: PersistentSet<VmId> = persistentSetOf(),
) {
    /** Whether every peer that was asked keeps a copy. */
    val isReplicated: Boolean get() = sentTo.isNotEmpty() && confirmedBy.containsAll(sentTo)
}

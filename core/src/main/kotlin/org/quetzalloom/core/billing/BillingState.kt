package org.quetzalloom.core.billing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The slice of [BillingPart].
 *
 * @property unsettled bills of this VM that are not known to be in the log, by identity.
 * @property kept bills that this VM keeps for peers, by identity.
 */
internal data class BillingState(
    val unsettled: PersistentMap<String, UnsettledBill> = persistentMapOf(),
    val kept: PersistentMap<String, KeptBill> = persistentMapOf(),
)

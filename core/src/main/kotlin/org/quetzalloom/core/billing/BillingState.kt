package org.quetzalloom.core.billing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The state owned by [BillingPart].
 *
 * @property unsettled the bills of this VM that are not known to be in the log, by identity.
 * @property kept the copies of bills that this VM holds for peers, by identity.
 */
internal data class BillingState(
    val unsettled: PersistentMap<String, UnsettledBill> = persistentMapOf(),
    val kept: PersistentMap<String, KeptBill> = persistentMapOf(),
)

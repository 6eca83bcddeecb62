package org.quetzalloom.core.billing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.VmId

/**
 * The slice of [BillingPart].
 *
 * @property unsettled bills of this VM that are not known to be in the log, by identity, each with the peer that
 *   keeps a copy.
 * @property kept bills that this VM keeps for peers, by identity.
 */
internal data class BillingState(
    val unsettled: PersistentMap<String, VmId?> = persistentMapOf(),
    val kept: PersistentMap<String, KeptBill> = persistentMapOf(),
)

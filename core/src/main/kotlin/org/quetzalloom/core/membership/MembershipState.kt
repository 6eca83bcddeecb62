package org.quetzalloom.core.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp

/**
 * The state of [MembershipPart].
 *
 * @property lastMessageAt when the last message of each peer was received.
 * @property leaving whether each VM is leaving, for the VMs that the platform lists.
 * @property digestSentAt when the last digest was sent, or `null` before the first.
 * @property digestsSent the number of digests sent since the start; determines the next receiver.
 * @property listRequestedAt when the list of VMs was last requested, or `null` before the first time.
 */
internal data class MembershipState(
    val lastMessageAt: PersistentMap<VmId, Timestamp> = persistentMapOf(),
    val leaving: PersistentMap<VmId, Boolean> = persistentMapOf(),
    val digestSentAt: Timestamp? = null,
    val digestsSent: Long = 0,
    val listRequestedAt: Timestamp? = null,
)

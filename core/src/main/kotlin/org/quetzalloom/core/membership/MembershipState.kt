package org.quetzalloom.core.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp

/**
 * The slice of [MembershipPart].
 *
 * @property lastMessageAt when each peer was last heard.
 * @property leaving the VMs that the platform lists, and whether each is leaving.
 * @property digestSentAt when the last digest was sent.
 * @property digestsSent the number of digests sent.
 * @property listRequestedAt when the list of VMs was last asked for.
 */
internal data class MembershipState(
    val lastMessageAt: PersistentMap<VmId, Timestamp> = persistentMapOf(),
    val leaving: PersistentMap<VmId, Boolean> = persistentMapOf(),
    val digestSentAt: Timestamp? = null,
    val digestsSent: Long = 0,
    val listRequestedAt: Timestamp? = null,
)

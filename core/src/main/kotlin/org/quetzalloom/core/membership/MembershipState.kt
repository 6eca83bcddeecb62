package org.quetzalloom.core.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp

/**
 * The slice of [MembershipPart].
 *
 * @property heardAt when each peer was last heard.
 * @property leaving the VMs that the platform lists, and whether each is leaving.
 * @property gossipAt when the last digest was sent.
 * @property gossipTurn the number of digests sent.
 * @property listedAt when the list of VMs was last asked for.
 */
internal data class MembershipState(
    val heardAt: PersistentMap<VmId, Timestamp> = persistentMapOf(),
    val leaving: PersistentMap<VmId, Boolean> = persistentMapOf(),
    val gossipAt: Timestamp? = null,
    val gossipTurn: Long = 0,
    val listedAt: Timestamp? = null,
)

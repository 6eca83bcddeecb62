package org.quetzalloom.core.relay.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The outcomes of the old versions and the new version of a roll-out, as another router has counted them.
 *
 * @property newSessions the requests that the other router has sent to the new version for the canary sessions that
 *   send most, by the hashes of the sessions.
 */
internal data class PeerOutcomes(
    val old: OutcomeSums,
    val new: OutcomeSums,
    val newSessions: PersistentMap<Int, Int> = persistentMapOf(),
)

package org.quetzalloom.core.relay.rollout

/** The outcomes of both versions of a roll-out, as another router has counted them. */
internal data class PeerOutcomes(val old: OutcomeSums, val new: OutcomeSums)

package org.quetzalloom.core.relay.rollout

/** The outcomes of the old versions and the new version of a roll-out, as another router has counted them. */
internal data class PeerOutcomes(val old: OutcomeSums, val new: OutcomeSums)

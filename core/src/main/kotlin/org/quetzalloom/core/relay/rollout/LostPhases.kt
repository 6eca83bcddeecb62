package org.quetzalloom.core.relay.rollout

import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.time.Timestamp

/** For this time after the store has come back from an older copy, phases that it lacks are looked for. */
private const val SEARCH_MILLISECONDS = 30_000L

/** Returns the state after the store has come back from an older copy, which may lack the phases that are known. */
internal fun RolloutsState.withUnconfirmedPhases(): RolloutsState = copy(
    byService = byService.mapValues { (_, progress) -> progress.copy(unconfirmed = progress.phase != null) }
        .toPersistentMap(),
)

/** Returns the roll-outs whose phases may be missing in the store at [now], and whose orders are there. */
internal fun RelayState.rolloutsWithLostPhases(now: Timestamp): List<RolloutProgress> {
    val isRecent = storeEra.enteredAt?.let { now - it <= SEARCH_MILLISECONDS } ?: false
    if (!isRecent) return emptyList()
    return rollouts.byService.values.filter { it.unconfirmed && it.order.service !in storeEra.unconfirmedServices }
}

/** Returns the phase that this router is to write again for [progress], which has ended, or `null` for none. */
internal fun RelayState.lostPhaseOrNull(progress: RolloutProgress, now: Timestamp): RolloutPhase? =
    progress.phase.takeIf { members.isLeaderAt(now) && !progress.open }

package org.quetzalloom.core.relay.access

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.feed.FeedProblem
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.router.stableHash
import org.quetzalloom.core.time.Timestamp

/**
 * Calls the store through another router while the store does not answer this one.
 *
 * The store may turn away some routers and serve the others and the operators. Nothing tells that apart from an outage,
 * so other routers are tried in turn, and the store itself again every few seconds.
 */
internal object AccessPart : RelayPart {
    /** One failure may be one lost answer. */
    private const val FAILURES_BEFORE_DETOUR = 2

    /** The time on a detour; a direct call that is not answered costs about a second. */
    private const val DETOUR_MILLISECONDS = 2_500L

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.FeedRead, is RelayEvent.GroupJoined -> state.succeeded()
        is RelayEvent.FeedFailed ->
            if (event.problem == FeedProblem.UNAVAILABLE) state.failed(now) else state.unchanged()
        is RelayEvent.GroupFailed -> state.failed(now)
        RelayEvent.Tick -> state.returnIfDue(now)
        else -> state.unchanged()
    }

    private fun RelayState.succeeded(): RelayStep =
        if (access.failures == 0) unchanged() else copy(access = access.copy(failures = 0)).unchanged()

    private fun RelayState.failed(now: Timestamp): RelayStep {
        val counted = copy(access = access.copy(failures = access.failures + 1))
        val helper = helperOrNull(access.turns)
        val directAt = if (access.viaRouter == null) now + DETOUR_MILLISECONDS else access.directAt
        return if (counted.access.failures < FAILURES_BEFORE_DETOUR || helper == null) {
            counted.unchanged()
        } else {
            counted.reach(helper, directAt, now)
        }
    }

    /** Other routers take turns, so that one that is turned away itself is soon left. */
    private fun RelayState.helperOrNull(turn: Int): String? = members.addresses.entries
        .filter { it.key != settings.vm && it.value.isNotEmpty() }
        .minByOrNull { stableHash(it.key, turn) }
        ?.value

    private fun RelayState.returnIfDue(now: Timestamp): RelayStep =
        if (access.viaRouter == null || now < access.directAt) unchanged() else reach(null, directAt = now, now)

    private fun RelayState.reach(viaRouter: String?, directAt: Timestamp, now: Timestamp): RelayStep {
        val next = copy(access = AccessState(viaRouter = viaRouter, turns = access.turns + 1, directAt = directAt))
        if (viaRouter == access.viaRouter) return next.unchanged()
        return next.with(RelayEffect.SetStorePath(viaRouter)).then {
            it.report(now, "store_path", "through" to (viaRouter ?: "direct"), "failures" to access.failures)
        }
    }
}

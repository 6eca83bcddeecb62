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
 * Calls the platform's store through another router while the store does not answer this one.
 *
 * The store may refuse some routers while it serves the others and the operators. A router cannot tell this from an
 * outage, so it tries other routers in turn as proxies, and calls the store directly again every few seconds.
 *
 * The feeds are read through one router, see [readerOrNull]; a failure of such a read says nothing about the direct
 * path.
 */
internal object StorePathPart : RelayPart {
    /** The failures in a row before the path changes. A single failure may be a lost response. */
    private const val FAILURES_BEFORE_DETOUR = 2

    /** How long calls go through other routers. It is not shorter, as a failed direct call costs about a second. */
    private const val DETOUR_MILLISECONDS = 2_500L

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.FeedRead -> if (event.throughReader) state.unchanged() else state.succeeded()
        is RelayEvent.GroupJoined -> state.succeeded()
        is RelayEvent.FeedFailed -> state.feedFailed(event, now)
        is RelayEvent.GroupFailed -> if (event.throughReader) state.unchanged() else state.failed(now)
        RelayEvent.Tick -> state.retryDirectIfDue(now)
        else -> state.unchanged()
    }

    private fun RelayState.succeeded(): RelayStep =
        if (storePath.failures == 0) unchanged() else copy(storePath = storePath.copy(failures = 0)).unchanged()

    private fun RelayState.feedFailed(event: RelayEvent.FeedFailed, now: Timestamp): RelayStep = when {
        event.problem != FeedProblem.UNAVAILABLE -> unchanged()
        event.throughReader -> unchanged()
        else -> failed(now)
    }

    private fun RelayState.failed(now: Timestamp): RelayStep {
        val withFailure = copy(storePath = storePath.copy(failures = storePath.failures + 1))
        val proxyRouter = proxyRouterOrNull(storePath.pathChanges)
        val directRetryAt = if (storePath.viaRouter == null) now + DETOUR_MILLISECONDS else storePath.directRetryAt
        return if (withFailure.storePath.failures < FAILURES_BEFORE_DETOUR || proxyRouter == null) {
            withFailure.unchanged()
        } else {
            withFailure.setPath(proxyRouter, directRetryAt, now)
        }
    }

    /**
     * Returns the address of another router, or `null` if none is known. The choice varies with [seed], so that a
     * router that the store refuses as well is not used for long.
     */
    private fun RelayState.proxyRouterOrNull(seed: Int): String? = members.addresses.entries
        .filter { it.key != settings.vm && it.value.isNotEmpty() }
        .minByOrNull { stableHash(it.key, seed) }
        ?.value

    private fun RelayState.retryDirectIfDue(now: Timestamp): RelayStep =
        if (storePath.viaRouter == null || now < storePath.directRetryAt) {
            unchanged()
        } else {
            setPath(null, directRetryAt = now, now)
        }

    private fun RelayState.setPath(viaRouter: String?, directRetryAt: Timestamp, now: Timestamp): RelayStep {
        val next = copy(
            storePath = storePath.copy(
                viaRouter = viaRouter,
                failures = 0,
                pathChanges = storePath.pathChanges + 1,
                directRetryAt = directRetryAt,
            ),
        )
        if (viaRouter == storePath.viaRouter) return next.unchanged()
        return next.with(RelayEffect.SetStorePath(viaRouter)).then {
            it.report(now, "store_path", "through" to (viaRouter ?: "direct"), "failures" to storePath.failures)
        }
    }
}

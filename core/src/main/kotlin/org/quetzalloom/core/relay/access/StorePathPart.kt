package org.quetzalloom.core.relay.access

import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.feed.FeedProblem
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.router.stableHash
import org.quetzalloom.core.time.Timestamp

/**
 * Calls the platform's store through another router while the store does not answer this one.
 *
 * The store may refuse some routers while it serves the others and the operators. A router cannot tell this from an
 * outage, so it tries other routers in turn as proxies. It calls the store directly again every few seconds, after each
 * failure on a detour, which may be the fault of the proxy, and before its records become too old, see [needsOwnRead].
 *
 * The feeds are read through one router, see [readerOrNull]; a failure of such a read says nothing about the direct
 * path.
 */
internal object StorePathPart : RelayPart {
    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.FeedRead -> state.feedRead(event)
        is RelayEvent.GroupJoined -> state.succeeded(event.sentAt)
        is RelayEvent.FeedFailed -> state.feedFailed(event, now)
        is RelayEvent.GroupFailed ->
            if (event.throughReader) state.unchanged() else state.failed(state.members.calledAt, now)
        RelayEvent.Tick -> if (now >= state.storePath.directRetryAt) state.endDetour(now) else state.unchanged()
        else -> state.unchanged()
    }

    private fun RelayState.feedRead(event: RelayEvent.FeedRead): RelayStep {
        val cursor = feeds.of(event.feed)
        return if (event.throughReader || !cursor.expects(event)) unchanged() else succeeded(cursor.sentAt)
    }

    private fun RelayState.feedFailed(event: RelayEvent.FeedFailed, now: Timestamp): RelayStep {
        val cursor = feeds.of(event.feed)
        val tellsOfPath = event.problem == FeedProblem.UNAVAILABLE && !event.throughReader && cursor.expects(event)
        return if (tellsOfPath) failed(cursor.sentAt, now) else unchanged()
    }

    private fun RelayState.succeeded(sentAt: Timestamp): RelayStep =
        if (storePath.failures == 0 || sentAt < storePath.changedAt) {
            unchanged()
        } else {
            copy(storePath = storePath.copy(failures = 0)).unchanged()
        }

    private fun RelayState.failed(sentAt: Timestamp, now: Timestamp): RelayStep = when {
        sentAt < storePath.changedAt -> unchanged()
        storePath.viaRouter != null -> endDetour(now)
        else -> directCallFailed(now)
    }

    private fun RelayState.directCallFailed(now: Timestamp): RelayStep {
        val failures = storePath.failures + 1
        val proxyRouter = if (failures < FAILURES_BEFORE_DETOUR) null else proxyRouterOrNull(storePath.pathChanges)
        return if (proxyRouter == null) {
            copy(storePath = storePath.copy(failures = failures)).unchanged()
        } else {
            setStorePath(proxyRouter, failures = 0, now)
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
}

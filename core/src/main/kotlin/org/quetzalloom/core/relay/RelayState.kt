package org.quetzalloom.core.relay

import org.quetzalloom.core.relay.access.ReadersState
import org.quetzalloom.core.relay.access.StorePathState
import org.quetzalloom.core.relay.admission.AdmissionState
import org.quetzalloom.core.relay.crash.CrashesState
import org.quetzalloom.core.relay.era.StoreEraState
import org.quetzalloom.core.relay.exchange.ExchangesState
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedsState
import org.quetzalloom.core.relay.forecast.ForecastsState
import org.quetzalloom.core.relay.handover.ReachState
import org.quetzalloom.core.relay.member.MembersState
import org.quetzalloom.core.relay.model.ConfidenceGains
import org.quetzalloom.core.relay.peer.PeersState
import org.quetzalloom.core.relay.rollout.RolloutsState
import org.quetzalloom.core.relay.routing.RoutingTable
import org.quetzalloom.core.relay.server.ServersState
import org.quetzalloom.core.relay.session.PinsState
import org.quetzalloom.core.relay.stop.StopState
import org.quetzalloom.core.relay.stop.TickFailuresState
import org.quetzalloom.core.time.Timestamp

/**
 * Everything that a relay, the deciding part of one router, knows. Immutable, with a slice for each part of the
 * reducer.
 *
 * @property settings the settings as of their last change.
 * @property policies the replaceable decision rules.
 * @property stampCounter the counter of the last causal stamp of a log line.
 * @property routing the configuration in force, or `null` before the first.
 * @property routingAppliedAt when [routing] came into force, or `null` before the first.
 */
@ConsistentCopyVisibility
public data class RelayState internal constructor(
    public val settings: RelaySettings,
    public val policies: RelayPolicies,
    internal val stampCounter: Long = 0,
    internal val routing: RoutingTable? = null,
    internal val routingAppliedAt: Timestamp? = null,
    internal val storeEra: StoreEraState = StoreEraState(),
    internal val storePath: StorePathState = StorePathState(),
    internal val readers: ReadersState = ReadersState(),
    internal val feeds: FeedsState = FeedsState(),
    internal val servers: ServersState = ServersState(),
    internal val reach: ReachState = ReachState(),
    internal val members: MembersState = MembersState(),
    internal val peers: PeersState = PeersState(),
    internal val rollouts: RolloutsState = RolloutsState(),
    internal val pins: PinsState = PinsState(),
    internal val crashes: CrashesState = CrashesState(),
    internal val confidenceGains: ConfidenceGains = ConfidenceGains(),
    internal val admission: AdmissionState = AdmissionState(),
    internal val exchanges: ExchangesState = ExchangesState(),
    internal val forecasts: ForecastsState = ForecastsState(),
    internal val stop: StopState = StopState(),
    internal val tickFailures: TickFailuresState = TickFailuresState(),
) {
    /** The number of requests that have not been answered completely. */
    public val activeExchanges: Int get() = exchanges.byId.size

    /** The number of known backend servers, usable or not. */
    public val knownServers: Int get() = servers.views.size

    /** The version of the configuration in force, or `null` before the first one. */
    public val configurationVersion: Long? get() = routing?.version

    /**
     * Returns for how long [feed] may have changed unnoticed at [now], in milliseconds; `null` before the first read.
     */
    public fun feedAge(feed: Feed, now: Timestamp): Long? = feeds.of(feed).readAt?.let { now - it }

    /** The number of feeds of which too little has been read lately. */
    public val staleFeeds: Int get() = feeds.staleSince.size

    /** The number of ticks in a row that could not be reduced. */
    public val failedTicks: Int get() = tickFailures.count

    /** Returns a key of [workspace], or `null` if none is known. */
    public fun keyOfOrNull(workspace: String): String? =
        routing?.workspacesByKey?.entries?.firstOrNull { it.value.value == workspace }?.key

    public companion object {
        /** Returns the state of a relay that has just started with [settings]. */
        public fun initial(settings: RelaySettings, policies: RelayPolicies = RelayPolicies()): RelayState =
            RelayState(settings, policies)
    }
}

package org.quetzalloom.core.relay

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.identity.WorkspaceId
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.routing.BackendService
import org.quetzalloom.core.relay.routing.CallerLimits
import org.quetzalloom.core.relay.routing.Route
import org.quetzalloom.core.relay.routing.RoutingTable
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.relay.routing.Split
import org.quetzalloom.core.relay.server.ServerListing
import org.quetzalloom.core.time.Timestamp

/** Drives the reducer of one relay in virtual time, without sockets. */
class RelayRig(vm: String = "vm-1", policies: RelayPolicies = RelayPolicies()) {
    var now = Timestamp(1_000_000)
        private set
    var state: RelayState = RelayState.initial(settings(vm), policies)
        internal set
    private var lastId = 0L
    private var joined = false

    /** Reduces [event] at the current time; returns the effects. */
    fun on(event: RelayEvent): List<RelayEffect> {
        val transition = RelayReducer.reduce(state, event, now)
        state = transition.state
        return transition.effects
    }

    /** Lets [milliseconds] pass with ticks, confirming this router's joins of the group; returns all effects. */
    fun pass(milliseconds: Long): List<RelayEffect> = (1..milliseconds / TICK).flatMap {
        now += TICK
        val effects = on(RelayEvent.Tick)
        val confirmed = joined && effects.any { it is RelayEffect.JoinGroup }
        if (confirmed) effects + on(RelayEvent.GroupJoined(generation = 1, isLeader = true, sentAt = now)) else effects
    }

    /** Lets [milliseconds] pass without any event. */
    fun pause(milliseconds: Long) {
        now += milliseconds
    }

    /** Lets [milliseconds] pass with ticks that fail; returns all effects. */
    fun passWithFailingTicks(milliseconds: Long): List<RelayEffect> = (1..milliseconds / TICK).flatMap {
        now += TICK
        on(RelayEvent.TickFailed)
    }

    /** Delivers [entries] of [feed]; returns the effects. */
    fun read(feed: Feed, vararg entries: FeedEntry, snapshot: Boolean = false): List<RelayEffect> =
        on(RelayEvent.FeedRead(feed, entries.toList(), nextOffset = 1, snapshot = snapshot))

    /** Delivers the usual configuration, [servers], and a group of [members] routers. */
    fun start(servers: List<ServerListing> = plainServers, members: Int = 1): RelayRig {
        read(Feed.ORDERS, FeedEntry.Configuration(table), snapshot = true)
        read(Feed.SERVERS, *servers.map { FeedEntry.Server(it) }.toTypedArray(), snapshot = true)
        join(members)
        return this
    }

    /** Delivers a group of [members] routers, led by this one; returns the effects. */
    fun join(members: Int): List<RelayEffect> {
        joined = true
        val memberAddresses = (1..members).associate { VmId("vm-$it") to "10.0.0.$it:70" }
        return on(RelayEvent.GroupJoined(generation = 1, isLeader = true, sentAt = now)) +
            on(RelayEvent.MembersListed(generation = 1, memberAddresses = memberAddresses))
    }

    /** Delivers [request]; returns its exchange's id and the effects. */
    fun arrive(request: RelayRequest): Pair<ExchangeId, List<RelayEffect>> {
        val id = ExchangeId(++lastId)
        return id to on(RelayEvent.RequestArrived(id, request))
    }

    /** Ends the attempt of [send] with [failure]; returns the effects. */
    fun failAttempt(send: RelayEffect.Send, failure: AttemptFailure, lastEventId: String? = null): List<RelayEffect> =
        on(RelayEvent.AttemptFailed(send.exchange, send.attempt, failure, lastEventId))

    /** Delivers [head] as the response of the attempt of [send]; returns the effects. */
    fun respond(send: RelayEffect.Send, head: ResponseHead): List<RelayEffect> =
        on(RelayEvent.ResponseStarted(send.exchange, send.attempt, head))

    companion object {
        const val TICK = 20L
        val plain = ServiceName("ledger")
        val engines = ServiceName("loom")
        val zones = listOf("zone-a", "zone-b", "zone-c").map { AvailabilityZoneId(it) }

        val command = RelayRequest("c-1", "app.example", "/book/1", key = "key-1", timeLeftMilliseconds = 1_000)
        val read = RelayRequest("r-1", "app.example", "/look/1", key = "key-1", timeLeftMilliseconds = 1_000)
        val prompt = RelayRequest(
            callerId = "p-1",
            host = "app.example",
            path = "/draft/1",
            key = "key-1",
            timeLeftMilliseconds = 20_000,
            routerChoosesModel = true,
        )

        val table = RoutingTable(
            version = 7,
            routes = persistentListOf(
                route("/book/").copy(maximumAttempts = 1),
                route("/look/").copy(idempotent = true, maximumAttempts = 2),
                route("/look/open/").copy(idempotent = true, public = true),
                route("/draft/").copy(
                    splits = persistentListOf(Split(engines, weight = 1)),
                    streaming = true,
                    resumable = true,
                    timeoutMilliseconds = 20_000,
                    targetMilliseconds = 2_000,
                    targetGapMilliseconds = 1_000,
                    models = persistentListOf("small", "middle", "large"),
                    maximumAttempts = 3,
                ),
            ),
            services = persistentMapOf(
                plain to BackendService(plain, maximumConnections = 100),
                engines to BackendService(engines, 360, coldMilliseconds = 3_000, coldRequestsPerSecond = 16.0),
            ),
            limits = CallerLimits(
                maximumHeaderBytes = 16_384,
                maximumBodyBytes = 1_048_576,
                headerTimeoutMilliseconds = 3_000,
                idleTimeoutMilliseconds = 15_000,
            ),
            workspacesByKey = persistentMapOf("key-1" to WorkspaceId("bakery")),
        )

        val plainServers = listOf("s-1", "s-2", "s-3").mapIndexed { index, id -> server(id, plain, zones[index]) }
        val engineServers = listOf("e-1", "e-2", "e-3").mapIndexed { index, id -> server(id, engines, zones[index]) }

        fun server(id: String, service: ServiceName, zone: AvailabilityZoneId = zones[0], version: String = "v1") =
            ServerListing(
                id = BackendServerId(id),
                service = service,
                address = "10.0.0.1:80",
                zone = zone,
                version = version,
                slots = 64,
                draining = false,
                coldMilliseconds = 0,
                startedAt = 1,
                sequence = 1,
            )

        fun settings(vm: String) = RelaySettings(
            vm = VmId(vm),
            zone = zones[0],
            graceMilliseconds = 8_000,
            retryRatio = 0.9,
            retryWindowMilliseconds = 10_000,
            retrySlack = 54.0,
            exposureLimit = 0.15,
            sessionIdleTimeoutMilliseconds = 5_000,
        )

        private fun route(prefix: String) = Route(
            name = prefix,
            host = "app.example",
            pathPrefix = prefix,
            splits = persistentListOf(Split(plain, weight = 1)),
            idempotent = false,
            timeoutMilliseconds = 1_000,
            targetMilliseconds = 100,
        )
    }
}

/** Returns the single effect of type [T]; fails if there is none or more than one. */
inline fun <reified T : RelayEffect> List<RelayEffect>.only(): T = filterIsInstance<T>().single()

/** Returns whether there is no effect of type [T]. */
inline fun <reified T : RelayEffect> List<RelayEffect>.none(): Boolean = filterIsInstance<T>().isEmpty()

/** The backend server that the attempt is sent to. */
val RelayEffect.Send.serverId: BackendServerId
    get() = checkNotNull(parameters.server) { "the request is handed over to ${parameters.address}" }

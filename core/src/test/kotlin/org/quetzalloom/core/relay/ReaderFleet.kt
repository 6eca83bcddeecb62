package org.quetzalloom.core.relay

import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.feed.FeedsState
import org.quetzalloom.core.time.Timestamp

/**
 * A [RelayFleet] that has settled, and measures how long a change takes to reach all its routers.
 *
 * @param bound the shortest time within which all routers must act on a change, in milliseconds.
 */
internal class ReaderFleet(
    routers: Int,
    bound: Long = BOUND,
    seed: Long = routers.toLong(),
    reducer: Reducer<RelayState, RelayEvent, RelayEffect> = RelayReducer,
) {
    val fleet = RelayFleet(
        routers,
        seed = System.getProperty("seed")?.toLong() ?: seed,
        reducer = reducer,
        initialState = { RelayState.initial(RelayRig.settings(it.value).copy(changeBoundMilliseconds = bound)) },
    ).apply {
        write(Feed.ORDERS, FeedEntry.Configuration(RelayRig.table))
        write(Feed.SERVERS, *RelayRig.plainServers.map { FeedEntry.Server(it) }.toTypedArray())
        pass(SETTLED)
    }

    /** The routers in the order in which they are used as readers. */
    val readers: List<VmId> = fleet.states.getValue(fleet.vms.first()).members.readerOrder
    private var version = RelayRig.table.version
    private var sequence = 100L

    /** Writes a configuration and a draining server; returns their version. */
    fun write(): Long {
        version++
        val server = RelayRig.plainServers.first().copy(draining = true, startedAt = version)
        fleet.write(Feed.ORDERS, FeedEntry.Configuration(RelayRig.table.copy(version = version)))
        fleet.write(Feed.SERVERS, FeedEntry.Server(server))
        return version
    }

    /** Writes a configuration and a draining server; returns after how long all running [routers] know both. */
    fun timeToSpread(routers: List<VmId> = fleet.vms): Long {
        val begin = fleet.elapsed
        write()
        while (routers.any { it !in fleet.paused && knownVersion(it) < version }) {
            fleet.pass(RelayRig.TICK)
            if (fleet.elapsed - begin > PATIENCE) return PATIENCE
        }
        return fleet.elapsed - begin
    }

    /** Returns the newest version of which [vm] knows both the configuration and the server, or 0 for none. */
    fun knownVersion(vm: VmId): Long = minOf(knownConfiguration(vm), knownServer(vm))

    /** Returns the newest version of which [vm] knows the configuration, or 0 for none. */
    fun knownConfiguration(vm: VmId): Long = fleet.states.getValue(vm).configurationVersion ?: 0

    /** Returns the newest version of which [vm] knows the server, or 0 for none. */
    fun knownServer(vm: VmId): Long =
        fleet.states.getValue(vm).servers.views[RelayRig.plainServers.first().id]?.listing?.startedAt ?: 0

    /** Counts the calls of [milliseconds], in which all servers renew their entries; a join counts as a tenth. */
    fun callsIn(milliseconds: Long): Double {
        val before = fleet.store.calls + fleet.store.joins / JOINS_PER_CALL
        repeat((milliseconds / HEARTBEAT).toInt()) {
            sequence++
            RelayRig.plainServers.forEach { fleet.write(Feed.SERVERS, FeedEntry.Server(it.copy(sequence = sequence))) }
            fleet.pass(HEARTBEAT)
        }
        return fleet.store.calls + fleet.store.joins / JOINS_PER_CALL - before
    }

    companion object {
        const val BOUND = 3_000L
        const val SHORT_BOUND = 2_000L

        /** What a request may still take from its placement until it arrives. */
        const val MARGIN = 100L

        /** The time after which a change is taken to be lost. */
        const val PATIENCE = 20_000L

        /** All routers have joined and listed each other. */
        private const val SETTLED = 8_000L
        private const val HEARTBEAT = 200L
        private const val JOINS_PER_CALL = 10.0
    }
}

/** Returns the state in which no read seems to be overdue or to have failed, so that no own read takes its place. */
internal fun FeedsState.withoutOwnReads(): FeedsState = copy(
    cursors = cursors.mapValues { (_, cursor) ->
        cursor.copy(unanswered = 0, failures = 0, waitMilliseconds = ReaderFleet.PATIENCE)
    }.toPersistentMap(),
)

/**
 * Returns the state in which, besides, no check of the store is due, and no router tells that it has read the store, so
 * that none finds out without its readers.
 */
internal fun FeedsState.withoutOwnReadsAndChecks(): FeedsState = withoutOwnReads().copy(
    store = store.copy(checkedAt = Timestamp(Long.MAX_VALUE / 2), readAt = Timestamp.EPOCH),
)

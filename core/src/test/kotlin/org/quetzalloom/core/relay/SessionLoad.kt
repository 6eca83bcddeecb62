package org.quetzalloom.core.relay

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.rollout.RolloutOrder
import org.quetzalloom.core.relay.rollout.RolloutPhase
import kotlin.random.Random

/**
 * Sends the requests of sessions to the routers of a [fleet] through a roll-out, and finds those that ran on another
 * version than the one before them in their session, against the rule.
 *
 * Each request of a session goes to the next router in a random order.
 */
class SessionLoad(private val fleet: RelayFleet, seed: Long, private val good: Boolean = true) {
    /** A session that sends [count] requests, the first [startsAt] and the others [interval] milliseconds later. */
    class Session(val name: String, val startsAt: Long, val count: Int, val interval: Long) {
        val endsAt: Long get() = startsAt + (count - 1) * interval
    }

    private class Sent(val at: Long, val isNew: Boolean)

    /** Descriptions of the requests that moved their session against the rule. */
    val moved = mutableListOf<String>()

    /** The number of requests to the old versions and to the new one, from the order to its deadline. */
    var toOld = 0
        private set
    var toNew = 0
        private set

    /** The number of requests in the first half of the roll-out that a session sent to the new version. */
    var startedOnNew = 0
        private set

    private val random = Random(seed)
    private val last = mutableMapOf<String, Sent>()
    private var orderedAt = Long.MAX_VALUE
    private var phase: RolloutPhase? = null
    private val sequence = fleet.vms.associateWith { random.nextInt() }
    private val order = fleet.vms.sortedBy { sequence.getValue(it) }

    init {
        fleet.onSend = { request, server -> observe(request.session, server.startsWith(NEW)) }
        fleet.onStatus = { _, written -> onStatus(written) }
        fleet.write(Feed.ORDERS, FeedEntry.Configuration(RelayRig.table))
        fleet.write(Feed.SERVERS, *RelayRig.plainServers.map { FeedEntry.Server(it) }.toTypedArray())
    }

    /** Plays [sessions] with a roll-out from [ORDERED_AT] on, to its end; [each] is called after each tick. */
    fun play(sessions: List<Session>, each: (elapsed: Long) -> Unit = {}) {
        val requests = sessions.flatMap { session ->
            val first = random.nextInt(order.size)
            (0 until session.count).map { Triple(session.startsAt + it * session.interval, session, first + it) }
        }.sortedBy { it.first }.iterator()
        var next = if (requests.hasNext()) requests.next() else null
        fleet.pass(ORDERED_AT + DURATION + REST) {
            if (orderedAt == Long.MAX_VALUE && fleet.elapsed >= ORDERED_AT) beginRollout()
            while (next?.let { it.first <= fleet.elapsed } == true) {
                next?.let { (_, session, turn) -> send(order[turn % order.size], session.name) }
                next = if (requests.hasNext()) requests.next() else null
            }
            each(fleet.elapsed)
        }
    }

    /** The servers of the old version stop when the roll-out is completed. */
    private fun onStatus(written: RolloutPhase) {
        phase = written
        if (written != RolloutPhase.COMPLETED) return
        fleet.write(Feed.SERVERS, *RelayRig.plainServers.map { FeedEntry.ServerRemoved(it.id) }.toTypedArray())
    }

    private fun beginRollout() {
        orderedAt = fleet.elapsed
        val servers = (1..NEW_SERVERS).map { RelayRig.server("$NEW$it", RelayRig.plain, version = "v2") }
        fleet.write(Feed.SERVERS, *servers.map { FeedEntry.Server(it) }.toTypedArray())
        fleet.write(Feed.ORDERS, FeedEntry.Rollout(RolloutOrder(RelayRig.plain, "v2", DURATION)))
    }

    private fun send(vm: VmId, session: String) {
        fleet.arrive(vm, RelayRig.read.copy(session = session))
    }

    private fun observe(session: String?, isNew: Boolean) {
        val age = fleet.elapsed - orderedAt
        if (age in 0..DURATION) if (isNew) toNew++ else toOld++
        if (session == null) return
        if (isNew && age < DURATION / 2) startedOnNew++
        val before = last.put(session, Sent(fleet.elapsed, isNew))
            ?.takeIf { fleet.elapsed - it.at < SESSION_TIME_TO_LIVE && it.isNew != isNew } ?: return
        val wrong = if (isNew) age < DURATION / 2 else good && phase != RolloutPhase.REVERTED
        val version = if (isNew) "new" else "old"
        if (wrong) moved += "$session at $age ms, on $version, ${fleet.elapsed - before.at} ms later"
    }

    companion object {
        const val ORDERED_AT = 8_000L
        const val DURATION = 24_000L
        const val REST = 2_000L
        private const val SESSION_TIME_TO_LIVE = 5_000L
        private const val NEW_SERVERS = 3
        private const val NEW = "n-"

        /** Returns [count] sessions that start at any time, each with requests at a rate of its own. */
        fun sessions(count: Int, seed: Long): List<Session> {
            val random = Random(seed)
            return (1..count).map {
                Session(
                    name = "session-$seed-$it",
                    startsAt = random.nextLong(ORDERED_AT / 2, ORDERED_AT + DURATION),
                    count = random.nextInt(2, 12),
                    interval = random.nextLong(60, 4_000),
                )
            }
        }
    }
}

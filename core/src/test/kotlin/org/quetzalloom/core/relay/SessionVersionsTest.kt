package org.quetzalloom.core.relay

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.peer.PeerBeacon
import org.quetzalloom.core.relay.peer.RolloutReport
import org.quetzalloom.core.relay.rollout.ExposurePolicy
import org.quetzalloom.core.relay.rollout.OutcomeSums
import org.quetzalloom.core.relay.rollout.RolloutOrder
import org.quetzalloom.core.relay.rollout.SteppedExposure
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Sessions changed their version in the middle of a roll-out when their requests came to other routers. */
class SessionVersionsTest {
    /** Plays a roll-out with [sessions] on [routers]; returns the load with what was seen. */
    private fun play(
        routers: Int,
        sessions: List<SessionLoad.Session>,
        seed: Long = 1,
        each: RelayFleet.(elapsed: Long) -> Unit = {},
    ): SessionLoad = play(RelayFleet(routers, seed), sessions, seed, each)

    private fun play(
        fleet: RelayFleet,
        sessions: List<SessionLoad.Session>,
        seed: Long = 1,
        each: RelayFleet.(elapsed: Long) -> Unit = {},
    ): SessionLoad = SessionLoad(fleet, seed).apply { play(sessions) { fleet.each(it) } }

    private fun RelayFleet.changeReports(change: (RolloutReport) -> RolloutReport) {
        tamper = { _, beacon -> beacon.copy(rollouts = beacon.rollouts.map(change).toPersistentList()) }
    }

    private fun allTheTime(name: String, interval: Long, startsAt: Long = 3_000) =
        SessionLoad.Session(name, startsAt, count = (31_000 / interval).toInt(), interval)

    @Test
    fun `a session keeps its version, though its requests come to two routers in turn`() {
        val moved = (1..40).flatMap { number ->
            val slow = allTheTime("slow-$number", interval = 3_000)
            val quick = allTheTime("quick-$number", interval = 630)
            val others = SessionLoad.sessions(count = 300, seed = 7)
            play(routers = 2, others + slow + quick, seed = number.toLong()).moved
        }
        assertEquals(emptyList(), moved)
    }

    /** The limit of the exposure goes before: the session sends more than the new version may get. */
    @Test
    fun `a session that sends all requests there are goes back to the old version once at most`() {
        for (number in 1..40) {
            val only = listOf(allTheTime("only-$number", interval = 130))
            val moved = play(routers = 2, only, seed = number.toLong()).moved
            assertTrue(moved.size <= 1, "$moved")
        }
    }

    @Test
    fun `5,000 sessions keep their versions, though each request comes to another of 67 routers`() {
        val load = play(routers = 67, SessionLoad.sessions(count = 5_000, seed = 1))
        assertEquals(emptyList(), load.moved)
        assertTrue(load.startedOnNew > 100, "${load.startedOnNew}")
        assertTrue(load.toNew <= EXPOSURE_LIMIT * (load.toOld + load.toNew), "${load.toNew} of ${load.toOld}")
    }

    @Test
    fun `sessions keep their versions, though beacons are lost and routers read the order late`() {
        val moved = (1L..5L).flatMap { seed -> playWithLateReaders(seed).moved }
        assertEquals(emptyList(), moved)
    }

    /** A fifth of the routers reach neither the store nor another router in the first second of the roll-out. */
    private fun playWithLateReaders(seed: Long, prepare: RelayFleet.() -> Unit = {}): SessionLoad = play(
        fleet = RelayFleet(routers = 15, seed, beaconLoss = 0.05).apply(prepare),
        sessions = SessionLoad.sessions(count = 2_000, seed),
        seed = seed,
    ) { elapsed ->
        if (elapsed in SessionLoad.ORDERED_AT - 200..SessionLoad.ORDERED_AT + 1_000) {
            val late = vms.takeLast(3)
            refused += late
            cutLinks += late.flatMap { router -> vms.map { router to it } }
        } else {
            refused.clear()
            cutLinks.clear()
        }
    }

    @Test
    fun `sessions keep their versions, though routers are started again one after the other`() {
        val moved = (1L..3L).flatMap { seed ->
            play(routers = 15, SessionLoad.sessions(count = 1_500, seed), seed) { elapsed ->
                val turn = elapsed - SessionLoad.ORDERED_AT
                if (turn > 0 && turn % 1_500 == 0L) restart(vms[(turn / 1_500).toInt() % vms.size])
            }.moved
        }
        assertEquals(emptyList(), moved)
    }

    @Test
    fun `without word of the sessions on old versions, sessions move to the new one`() {
        val fleet = RelayFleet(routers = 67, seed = 1)
        fleet.changeReports { it.copy(oldSessions = persistentListOf()) }
        val load = play(fleet, SessionLoad.sessions(count = 5_000, seed = 1))
        assertTrue(load.moved.any { " new," in it })
    }

    @Test
    fun `without word of the age of a roll-out, sessions return to the old version`() {
        val load = playWithLateReaders(seed = 1) { changeReports { it.copy(ageMilliseconds = 0) } }
        assertTrue(load.moved.any { " old," in it })
    }

    @Test
    fun `a session that sends a tenth of all requests does not expose more of them than the limit`() {
        for (name in canaries().take(3)) {
            val exposure = exposureWithHeavySession(name, SteppedExposure)
            assertTrue(exposure <= EXPOSURE_LIMIT, "$name: $exposure")
        }
    }

    @Test
    fun `without a bound on heavy sessions, one exposes more requests than the limit`() {
        val unbounded = object : ExposurePolicy by SteppedExposure {
            override fun isExcessive(old: Int, new: Int, limit: Double): Boolean = false
        }
        assertTrue(canaries().take(3).any { exposureWithHeavySession(it, unbounded) > EXPOSURE_LIMIT })
    }

    /** Names of sessions that start in the first half of a roll-out, and get the new version. */
    private fun canaries(): Sequence<String> = generateSequence(1) { it + 1 }.map { "heavy-$it" }.filter { name ->
        val load = play(routers = 1, listOf(SessionLoad.Session(name, startsAt = 13_000, count = 2, interval = 500)))
        load.startedOnNew > 0
    }

    private fun exposureWithHeavySession(name: String, policy: ExposurePolicy): Double {
        val heavy = SessionLoad.Session(name, startsAt = 10_600, count = 1_000, interval = 21)
        val policies = RelayPolicies(exposure = policy)
        val initial = { vm: VmId -> RelayState.initial(RelayRig.settings(vm.value), policies) }
        val fleet = RelayFleet(routers = 9, seed = 1, initialState = initial) { _, _ ->
            ResponseHead(status = 200)
        }
        val load = play(fleet, SessionLoad.sessions(count = 2_500, seed = 2) + heavy)
        assertTrue(load.moved.size <= 3, load.moved.toString())
        return load.toNew.toDouble() / (load.toNew + load.toOld)
    }

    @Test
    fun `the other routers hear at once of a canary session that runs on an old version`() {
        val rig = RelayRig().start(members = 67)
        rig.read(Feed.ORDERS, FeedEntry.Rollout(RolloutOrder(RelayRig.plain, "v2", SessionLoad.DURATION)))
        val notices = (1..400).map { number ->
            rig.run("s-$number").filterIsInstance<RelayEffect.SendBeacon>().also { rig.pass(RelayRig.TICK) }
        }.filter { it.isNotEmpty() }
        assertTrue(notices.size in 5..50, "${notices.size}")
        assertTrue(notices.all { it.single().addresses.size == 66 })
        assertEquals(notices.size, notices.last().single().beacon.rollouts.single().oldSessions.size)
    }

    @Test
    fun `sessions under way are told when an order is read`() {
        val rig = RelayRig().start(members = 67)
        repeat(400) { rig.run("s-$it") }
        val order = FeedEntry.Rollout(RolloutOrder(RelayRig.plain, "v2", SessionLoad.DURATION))
        val notice = rig.read(Feed.ORDERS, order).only<RelayEffect.SendBeacon>()
        assertEquals(66, notice.addresses.size)
        assertTrue(notice.beacon.rollouts.single().oldSessions.size in 5..50)
    }

    @Test
    fun `a router enters a stage as soon as another one has entered it`() {
        val added = RelayRig.server("s-9", RelayRig.plain, version = "v2")
        val rig = RelayRig().start(RelayRig.plainServers + added, members = 2)
        val order = RolloutOrder(RelayRig.plain, "v2", SessionLoad.DURATION)
        rig.read(Feed.ORDERS, FeedEntry.Rollout(order))
        rig.pass(22_400)
        assertTrue((1..40).any { rig.serverOf("s-$it") != added.id })
        val sums = OutcomeSums()
        val report = RolloutReport(order.service, order.version, 22_500, sums, sums, condemned = false)
        val beacon = PeerBeacon(VmId("vm-2"), 1, persistentMapOf(), persistentListOf(report))
        rig.on(RelayEvent.BeaconReceived(beacon))
        assertTrue((1..40).all { rig.serverOf("s-$it") == added.id })
    }

    private fun RelayRig.serverOf(session: String) = run(session).only<RelayEffect.Send>().serverId

    @Test
    fun `sessions at two services are told for both`() {
        val rig = RelayRig().start(RelayRig.plainServers + RelayRig.engineServers, members = 67)
        repeat(400) {
            rig.run("s-$it")
            rig.run("s-$it", RelayRig.prompt)
        }
        val orders = listOf(RelayRig.plain, RelayRig.engines).map { RolloutOrder(it, "v2", SessionLoad.DURATION) }
        val notice = rig.read(Feed.ORDERS, *orders.map { FeedEntry.Rollout(it) }.toTypedArray())
            .only<RelayEffect.SendBeacon>()
        val (first, second) = notice.beacon.rollouts.map { it.oldSessions.toSet() }
        assertTrue(first.isNotEmpty())
        assertEquals(first, second)
    }

    @Test
    fun `a session whose request takes longer than its idle timeout is told when an order is read`() {
        val rig = RelayRig().start(RelayRig.engineServers, members = 1)
        repeat(400) { rig.arrive(RelayRig.prompt.copy(callerId = "l-$it", session = "s-$it")) }
        rig.pass(6_000)
        rig.join(members = 2)
        // The first read after a long time is told to the others, too.
        repeat(2) { rig.read(Feed.ORDERS) }
        val order = FeedEntry.Rollout(RolloutOrder(RelayRig.engines, "v2", SessionLoad.DURATION))
        val notice = rig.read(Feed.ORDERS, order).only<RelayEffect.SendBeacon>()
        assertTrue(notice.beacon.rollouts.single().oldSessions.size in 5..50)
    }

    private fun RelayRig.run(session: String, request: RelayRequest = RelayRig.read): List<RelayEffect> {
        val (id, effects) = arrive(request.copy(callerId = session, session = session))
        on(RelayEvent.CallerLeft(id))
        return effects
    }

    private companion object {
        const val EXPOSURE_LIMIT = 0.15
    }
}

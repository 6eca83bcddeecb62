package org.quetzalloom.core.relay

import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.rollout.ExposurePolicy
import org.quetzalloom.core.relay.rollout.OutcomeSums
import org.quetzalloom.core.relay.rollout.RolloutOrder
import org.quetzalloom.core.relay.rollout.RolloutPhase
import org.quetzalloom.core.relay.rollout.SteppedExposure
import org.quetzalloom.core.relay.rollout.TimingSums
import org.quetzalloom.core.relay.server.LoadReport
import org.quetzalloom.core.time.Timestamp
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/** A version that was several times slower was completed, as only the mean time to the heads was compared. */
class SlowVersionTest {
    private class Due(val at: Timestamp, val act: RelayRig.() -> List<RelayEffect>)

    /**
     * How a version responds.
     *
     * @property head how long a response takes to begin, in milliseconds; `null` if its attempt fails instead.
     * @property event the time between two events of a stream under a load, in milliseconds.
     * @property load the load that the backend server reports.
     */
    private class Behaviour(
        val load: () -> Int = { 4 },
        val event: (load: Int) -> Long = { 0 },
        val head: () -> Long?,
    )

    private val random = Random(1)

    private fun usual() = Behaviour { 20L + random.nextLong(20) }

    /**
     * Plays a roll-out with one request each [RelayRig.TICK] milliseconds, after [before] milliseconds without it.
     * Returns the phases written.
     */
    private fun play(
        old: Behaviour,
        new: Behaviour,
        request: RelayRequest = RelayRig.read,
        policies: RelayPolicies = RelayPolicies(),
        before: Long = 2_000,
    ): List<RolloutPhase> {
        val isStream = request.path == RelayRig.prompt.path
        val service = if (isStream) RelayRig.engines else RelayRig.plain
        val added = RelayRig.server("x-9", service, version = "v2").copy(slots = 4_000)
        val rig = RelayRig(policies = policies)
            .start(if (isStream) RelayRig.engineServers else RelayRig.plainServers)
        val load = Load(rig, request) { if (it.serverId == added.id) new else old }
        load.run(before)
        rig.read(Feed.SERVERS, FeedEntry.Server(added))
        rig.read(Feed.ORDERS, FeedEntry.Rollout(RolloutOrder(service, "v2", DURATION)))
        rig.read(Feed.STATUS, snapshot = true)
        return load.run(DURATION)
    }

    private class Load(
        private val rig: RelayRig,
        private val request: RelayRequest,
        private val behaviourOf: (RelayEffect.Send) -> Behaviour,
    ) {
        private var sent = 0
        private var due = listOf<Due>()

        fun run(milliseconds: Long): List<RolloutPhase> = (1..milliseconds / RelayRig.TICK).flatMap {
            val effects = rig.pass(RelayRig.TICK) + rig.arrive(request.copy(callerId = "s-${++sent}")).second
            val (now, later) = due.partition { it.at <= rig.now }
            due = later
            carryOut(effects + now.flatMap { it.act(rig) })
        }

        /** Returns the phases that [effects] write, which the store accepts. */
        private fun carryOut(effects: List<RelayEffect>): List<RolloutPhase> {
            effects.filterIsInstance<RelayEffect.Send>().forEach { respondLater(it) }
            val writes = effects.filterIsInstance<RelayEffect.WriteRolloutStatus>()
            writes.forEach { rig.on(RelayEvent.StatusWriteFinished(it.service, it.phase, accepted = true)) }
            return writes.map { it.phase }
        }

        private fun respondLater(send: RelayEffect.Send) {
            val behaviour = behaviourOf(send)
            val head = behaviour.head()
            if (head == null) {
                due = due + Due(rig.now + SILENCE) { failAttempt(send, AttemptFailure.SILENT) }
                return
            }
            val load = behaviour.load()
            val report = LoadReport(running = load, waiting = 0, slots = 64)
            val endsAt = rig.now + head + EVENTS * behaviour.event(load)
            val events = if (behaviour.event(load) > 0) EVENTS else 0
            due = due + Due(rig.now + head) { respond(send, ResponseHead(status = 200, load = report)) } +
                Due(endsAt) { on(RelayEvent.ResponseFinished(send.exchange, send.attempt, events)) }
        }
    }

    @Test
    fun `a version with half of its responses eight times slower is reverted`() {
        val new = Behaviour { (20L + random.nextLong(20)) * if (random.nextBoolean()) 8 else 1 }
        assertEquals(REVERTED, play(old = usual(), new = new))
    }

    @Test
    fun `a version whose events come four times slower is reverted, though its responses begin in time`() {
        val old = Behaviour(event = { 20 }) { 20L }
        assertEquals(REVERTED, play(old, Behaviour(event = { 80 }) { 20L }, RelayRig.prompt))
    }

    /** The backend servers of the new version have few requests, and would answer faster than those of the old one. */
    @Test
    fun `a slow version is reverted, though the old one is as slow under its higher load`() {
        val loads = generateSequence(0) { it + 1 }.iterator()
        val old = Behaviour(
            event = { load -> if (load < 8) 20 else 80 },
            load = { if (loads.next() % 4 == 0) 4 else 40 }
        ) { 20L }
        assertEquals(REVERTED, play(old, Behaviour(event = { 80 }, load = { 1 }) { 20L }, RelayRig.prompt))
    }

    @Test
    fun `a version whose attempts are given up before they are answered is reverted`() {
        assertEquals(REVERTED, play(old = usual(), new = Behaviour { null }))
    }

    @Test
    fun `a good version is completed, though some of its responses are slow like those of the old one`() {
        fun behaviour() = Behaviour { (20L + random.nextLong(20)) * if (random.nextInt(8) == 0) 8 else 1 }
        assertEquals(COMPLETED, play(old = behaviour(), new = behaviour()))
    }

    @Test
    fun `a good version is completed, though the old one is faster under a lower load`() {
        val old = Behaviour({ 1 }, { 20 }) { 20L }
        assertEquals(COMPLETED, play(old, Behaviour({ 60 }, { 100 }) { 20L }, RelayRig.prompt))
    }

    /** The policy without the comparison of times. */
    private object FailuresOnly : ExposurePolicy by SteppedExposure {
        override fun isBad(old: OutcomeSums, new: OutcomeSums): Boolean =
            SteppedExposure.isBad(old, new.copy(starts = TimingSums(), events = TimingSums()))
    }

    @Test
    fun `without the comparison of times, a slow version is completed`() {
        val policies = RelayPolicies(exposure = FailuresOnly)
        assertEquals(COMPLETED, play(usual(), Behaviour { 160L }, policies = policies))
    }

    private companion object {
        const val DURATION = 24_000L
        const val SILENCE = 200L
        const val EVENTS = 10
        val REVERTED = listOf(RolloutPhase.IN_PROGRESS, RolloutPhase.REVERTED)
        val COMPLETED = listOf(RolloutPhase.IN_PROGRESS, RolloutPhase.COMPLETED)
    }
}

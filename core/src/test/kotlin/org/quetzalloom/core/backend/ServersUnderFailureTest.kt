package org.quetzalloom.core.backend

import org.quetzalloom.core.configuration.ConfigurationChange
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.rig.FakeServer
import org.quetzalloom.core.rig.Fault
import org.quetzalloom.core.rig.Fleet
import org.quetzalloom.core.rig.Rig
import org.quetzalloom.core.rig.assertNoFindings
import org.quetzalloom.core.rig.injectWithin
import org.quetzalloom.core.rig.seeds
import org.quetzalloom.core.router.RouterPolicies
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Backend servers must not be overloaded while they warm up after a restart, and must receive no new work after they or
 * their availability zone were taken out, even if the log goes down just after the change was accepted.
 */
class ServersUnderFailureTest {
    @Test
    fun aServerThatHasJustStartedIsNotOverloaded() = seeds(SEEDS).forEach { seed ->
        val rig = load(seed, RouterPolicies())
        assertNoFindings(seed, rig, overloads(rig))
    }

    @Test
    fun withoutTheRampColdServersAreOverloaded() {
        val policies = RouterPolicies(coldStartRamp = { server, _ -> server.capacity })
        val found = seeds(SEEDS).sumOf { overloads(load(it, policies)).size }
        assertTrue(found > 0, "without the ramp some cold server must be overloaded")
    }

    @Test
    fun aZoneTakenOutReceivesNoNewWork() = seeds(SEEDS).forEach { seed ->
        val change = ConfigurationChange.SetZone(Fleet.zones[1], inService = false)
        assertNoNewWork(seed, change) { it.server.zone == Fleet.zones[1] }
    }

    @Test
    fun aLeavingServerReceivesNoNewWork() = seeds(SEEDS).forEach { seed ->
        val leaving = BackendServerId("engine-2")
        assertNoNewWork(seed, ConfigurationChange.SetLeaving(leaving, leaving = true)) { it.server.id == leaving }
    }

    /** Applies [change], takes the log down just after, and requires that the servers [affected] get no new work. */
    private fun assertNoNewWork(
        seed: Long,
        change: ConfigurationChange,
        affected: (FakeServer) -> Boolean,
    ) {
        val rig = Fleet.rig(seed)
        send(rig)
        rig.cutFromLog.add(Fleet.vms.random(rig.random))
        rig.runFor(1_000)
        rig.change(base = 1, change = change)
        val acceptedAt = rig.schedule.now
        rig.schedule.after(rig.random.nextLong(400, 1_000)) { rig.log.down = true }
        rig.runFor(SETTLE_MILLISECONDS)
        val late = rig.servers.values.filter(affected).flatMap { it.runs }
            .filter { it.at > acceptedAt + PROPAGATION_MILLISECONDS }
        assertNoFindings(seed, rig, late.map { "${it.order.server} got work at ${it.at}" })
        assertTrue(rig.callers.all { it.correct }, "running requests must finish there, and all others elsewhere")
    }

    private fun load(seed: Long, policies: RouterPolicies): Rig {
        val rig = Fleet.rig(seed, policies = policies)
        send(rig)
        rig.injectWithin(milliseconds = 5_000, count = 8, faults = listOf(Fault.RESTART_SERVER, Fault.KILL_VM))
        rig.runFor(SETTLE_MILLISECONDS)
        return rig
    }

    private fun send(rig: Rig) = repeat(REQUESTS) { number ->
        rig.schedule.after(number * 10L) {
            rig.up.randomOrNull(rig.random)?.let { rig.send(it, Fleet.completion("bread $number")) }
        }
    }

    private fun overloads(rig: Rig): List<String> = rig.servers.values.filter { it.overloads > 0 }
        .map { "${it.server.id} was overloaded ${it.overloads} times and went down" }

    private companion object {
        const val SEEDS = 40
        const val REQUESTS = 600
        const val SETTLE_MILLISECONDS = 20_000L
        const val PROPAGATION_MILLISECONDS = 3_000L
    }
}

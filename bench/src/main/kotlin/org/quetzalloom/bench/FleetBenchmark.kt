package org.quetzalloom.bench

import org.openjdk.jol.info.GraphLayout
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.StartIdentity
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.status
import org.quetzalloom.core.time.Timestamp

/** Measures what the reducer of one VM costs in a fleet of [size]. */
internal class FleetBenchmark(private val size: FleetSize) {
    private val fleet = SyntheticFleet(size)
    private val vm = SimulatedVm(size, fleet)
    private val harness = vm.harness
    private val wire = WireSizes(fleet)

    /** Runs the benchmark and returns the costs. Each measurement continues on the state that the one before left. */
    fun measure(): FleetCosts {
        vm.initialize()
        val stateBytes = sizeInMemory(harness.state)
        val servers = harness.state.status(Timestamp(harness.now)).running.keys.sorted()
        val requestNanoseconds = harness.averageCpuNanoseconds(RUNS) { vm.runRequest("request-$it", chunks = 0) }
        val longRequestNanoseconds =
            harness.averageCpuNanoseconds(RUNS) { vm.runRequest("long-$it", chunks = SimulatedVm.CHUNKS) }
        return FleetCosts(
            vms = size.vms,
            replicas = size.replicas,
            homes = servers.size,
            tickNanoseconds = harness.averageCpuNanoseconds(RUNS) { vm.tick() },
            digestNanoseconds = harness.averageCpuNanoseconds(RUNS) { vm.receiveDigest() },
            loadNanoseconds = harness.averageCpuNanoseconds(RUNS) { vm.receiveLoadReport(servers.first()) },
            changeNanoseconds = harness.averageCpuNanoseconds(CHANGES) { vm.receiveConfigurationChange(it) },
            requestNanoseconds = requestNanoseconds,
            tokenNanoseconds = (longRequestNanoseconds - requestNanoseconds) / SimulatedVm.CHUNKS,
            commandNanoseconds = harness.averageCpuNanoseconds(RUNS) { vm.receiveCommand("key-$it") },
            digestBytes = wire.digest(),
            changeBytes = wire.change(),
            configurationBytes = wire.configuration(),
            billBytes = wire.bill(),
            commandBytes = wire.command(),
            stateBytes = stateBytes,
            requestBytes = bytesPerRequest(),
            commandStateBytes = bytesPerCommand(),
        )
    }

    private fun bytesPerRequest(): Long {
        val before = sizeInMemory(harness.state)
        val started = (1..REQUESTS_IN_FLIGHT).mapNotNull { vm.receiveRequest("under-way-$it") }
        started.forEach {
            vm.process(Event.OfBackend.Accepted(it.order.attempt, StartIdentity("${it.order.server}-1")))
        }
        return (sizeInMemory(harness.state) - before) / REQUESTS_IN_FLIGHT
    }

    private fun bytesPerCommand(): Long {
        val before = sizeInMemory(harness.state)
        repeat(REMEMBERED_COMMANDS) { vm.receiveCommand("remembered-$it") }
        return (sizeInMemory(harness.state) - before) / REMEMBERED_COMMANDS
    }

    private fun sizeInMemory(state: RouterState): Long = GraphLayout.parseInstance(state).totalSize()

    private companion object {
        const val RUNS = 3_000
        const val CHANGES = 100
        const val REQUESTS_IN_FLIGHT = 20
        const val REMEMBERED_COMMANDS = 1_000
    }
}

package org.quetzalloom.bench

import org.openjdk.jol.info.GraphLayout
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.StartIdentity
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.status
import org.quetzalloom.core.time.Timestamp

/** Measures one VM's reducer in a fleet of some [size]. */
internal class SlopeMeter(private val size: FleetSize) {
    private val fleet = SyntheticFleet(size)
    private val vm = MeasuredVm(size, fleet)
    private val drive = vm.drive
    private val wire = WireSizes(fleet)

    /** Returns what was measured. */
    fun measure(): Slope {
        vm.begin()
        val stateBytes = bytes(drive.state)
        val homes = drive.state.status(Timestamp(drive.now)).running.keys.sorted()
        val request = drive.nanoseconds(RUNS) { vm.answer("request-$it", pieces = 0) }
        val whole = drive.nanoseconds(RUNS) { vm.answer("long-$it", pieces = MeasuredVm.PIECES) }
        return Slope(
            vms = size.vms,
            replicas = size.replicas,
            homes = homes.size,
            tickNanoseconds = drive.nanoseconds(RUNS) { vm.tick() },
            digestNanoseconds = drive.nanoseconds(RUNS) { vm.digest() },
            loadNanoseconds = drive.nanoseconds(RUNS) { vm.load(homes.first()) },
            changeNanoseconds = drive.nanoseconds(CHANGES) { vm.change(it) },
            requestNanoseconds = request,
            tokenNanoseconds = (whole - request) / MeasuredVm.PIECES,
            commandNanoseconds = drive.nanoseconds(RUNS) { vm.command("key-$it") },
            digestBytes = wire.digest(),
            changeBytes = wire.change(),
            configurationBytes = wire.configuration(),
            billBytes = wire.bill(),
            commandBytes = wire.command(),
            stateBytes = stateBytes,
            requestBytes = bytesOfRequests(),
            commandStateBytes = bytesOfCommands(),
        )
    }

    private fun bytesOfRequests(): Long {
        val before = bytes(drive.state)
        val started = (1..UNDER_WAY).mapNotNull { vm.arrive("under-way-$it") }
        started.forEach {
            vm.step(Event.OfBackend.Accepted(it.order.attempt, StartIdentity("${it.order.server}-1")))
        }
        return (bytes(drive.state) - before) / UNDER_WAY
    }

    private fun bytesOfCommands(): Long {
        val before = bytes(drive.state)
        repeat(REMEMBERED) { vm.command("remembered-$it") }
        return (bytes(drive.state) - before) / REMEMBERED
    }

    private fun bytes(state: RouterState): Long = GraphLayout.parseInstance(state).totalSize()

    private companion object {
        const val RUNS = 3_000
        const val CHANGES = 100
        const val UNDER_WAY = 20
        const val REMEMBERED = 1_000
    }
}

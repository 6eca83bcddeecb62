package org.quetzalloom.bench

import kotlinx.collections.immutable.persistentListOf
import org.openjdk.jol.info.GraphLayout
import org.quetzalloom.core.configuration.ConfigurationChange
import org.quetzalloom.core.configuration.ConfigurationRecord
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.IdempotencyKey
import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.identity.StartIdentity
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.ledger.CommandId
import org.quetzalloom.core.ledger.CommandResult
import org.quetzalloom.core.log.LogEntry
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.log.LogStream
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.request.CallerRequest
import org.quetzalloom.core.request.Fingerprint
import org.quetzalloom.core.request.Target
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.status
import org.quetzalloom.core.time.Timestamp

/** Measures one VM's reducer in a fleet of some [size]. */
internal class SlopeMeter(private val size: FleetSize) {
    private val fleet = SyntheticFleet(size)
    private val drive = Drive(RouterState.initial(fleet.settings()))
    private val wire = WireSizes(fleet)
    private var revision = 1L
    private var offset = 0L
    private var peer = 0

    /** Returns what was measured. */
    fun measure(): Slope {
        begin()
        val stateBytes = bytes(drive.state)
        val homes = drive.state.status(Timestamp(drive.now)).running.keys.sorted()
        val request = drive.nanoseconds(RUNS) { answer("request-$it", pieces = 0) }
        val whole = drive.nanoseconds(RUNS) { answer("long-$it", pieces = PIECES) }
        return Slope(
            vms = size.vms,
            replicas = size.replicas,
            homes = homes.size,
            tickNanoseconds = drive.nanoseconds(RUNS) { tick() },
            digestNanoseconds = drive.nanoseconds(RUNS) { digest() },
            loadNanoseconds = drive.nanoseconds(RUNS) { load(homes.first()) },
            changeNanoseconds = drive.nanoseconds(CHANGES) { change(it) },
            requestNanoseconds = request,
            tokenNanoseconds = (whole - request) / PIECES,
            commandNanoseconds = drive.nanoseconds(RUNS) { command("key-$it") },
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

    private fun begin() {
        val snapshot = ConfigurationRecord.Snapshot(fleet.configuration())
        read(LogStream.CONFIGURATION, LogRecord.OfConfiguration(snapshot))
        tick()
        repeat(size.vms) { digest() }
        drive.state.status(Timestamp(drive.now)).running.keys.sorted().forEach { server ->
            step(Event.OfBackend.LoadReported(server, StartIdentity("$server-1"), 0, WARM_MILLISECONDS))
        }
    }

    private fun tick() {
        drive.now += TICK_MILLISECONDS
        step(Event.Tick)
    }

    /** Reduces [event], and answers reads and appends at once, so that the router goes on as it would. */
    private fun step(event: Event): List<Effect> = drive.reduce(event).flatMap { effect ->
        when (effect) {
            is Effect.OfPlatform.Read ->
                step(Event.OfPlatform.LogRead(effect.stream, persistentListOf(), effect.from, earliest = 0))
            is Effect.OfPlatform.Append -> step(Event.OfPlatform.LogAppended(effect.append))
            else -> listOf(effect)
        }
    }

    private fun digest() {
        peer = peer % (size.vms - 1) + 1
        step(Event.PeerTold(VmId("vm-${peer + 1}"), stamp = 1, message = PeerMessage.Digest(revision)))
    }

    private fun load(server: BackendServerId) {
        step(Event.OfBackend.LoadReported(server, StartIdentity("$server-1"), 1, WARM_MILLISECONDS))
    }

    private fun change(number: Int) {
        val zone = fleet.configuration().zones.first()
        val change = ConfigurationChange.SetZone(zone, inService = number % 2 == 1)
        val record = ConfigurationRecord.Proposed(revision, "operator", change)
        revision += 1
        read(LogStream.CONFIGURATION, LogRecord.OfConfiguration(record))
    }

    private fun command(key: String) {
        val command = CommandId(fleet.workspace, IdempotencyKey(key))
        val request = RequestId(key)
        read(LogStream.COMMANDS, LogRecord.Intent(command, VmId("vm-2"), request, Fingerprint(1)))
        read(LogStream.COMMANDS, LogRecord.Outcome(command, request, CommandResult.Answered(STATUS, "{}")))
    }

    private fun read(stream: LogStream, record: LogRecord) {
        offset += 1
        step(Event.OfPlatform.LogRead(stream, persistentListOf(LogEntry(offset, 1, record)), offset + 1, 0))
    }

    /** Leads one request through all its events. */
    private fun answer(name: String, pieces: Int) {
        val started = arrive(name) ?: error("request $name was not started")
        val attempt = started.order.attempt
        step(Event.OfBackend.Accepted(attempt, StartIdentity("${started.order.server}-1")))
        repeat(pieces) { step(Event.OfBackend.Progressed(attempt, it, 1, "word ")) }
        step(Event.OfBackend.Finished(attempt, pieces, STATUS))
        tick()
    }

    private fun arrive(name: String): Effect.OfBackend.Start? {
        val call = CallerRequest(
            workspace = fleet.workspace,
            target = Target.Completion(model = "model-1", maximumTokens = PIECES, streamed = true),
            timeoutMilliseconds = WARM_MILLISECONDS,
            body = "a prompt of a few words",
        )
        return step(Event.OfCaller.Arrived(RequestId(name), call))
            .filterIsInstance<Effect.OfBackend.Start>()
            .firstOrNull()
    }

    private fun bytesOfRequests(): Long {
        val before = bytes(drive.state)
        val started = (1..UNDER_WAY).mapNotNull { arrive("under-way-$it") }
        started.forEach {
            step(Event.OfBackend.Accepted(it.order.attempt, StartIdentity("${it.order.server}-1")))
        }
        return (bytes(drive.state) - before) / UNDER_WAY
    }

    private fun bytesOfCommands(): Long {
        val before = bytes(drive.state)
        repeat(REMEMBERED) { command("remembered-$it") }
        return (bytes(drive.state) - before) / REMEMBERED
    }

    private fun bytes(state: RouterState): Long = GraphLayout.parseInstance(state).totalSize()

    private companion object {
        const val RUNS = 3_000
        const val CHANGES = 100
        const val PIECES = 200
        const val UNDER_WAY = 20
        const val REMEMBERED = 1_000
        const val STATUS = 200
        const val TICK_MILLISECONDS = 20L
        const val WARM_MILLISECONDS = 600_000L
    }
}

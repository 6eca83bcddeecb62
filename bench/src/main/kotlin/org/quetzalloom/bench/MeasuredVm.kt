package org.quetzalloom.bench

import kotlinx.collections.immutable.persistentListOf
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

/** One VM of a fleet of some [size], with the events that it meets. */
internal class MeasuredVm(private val size: FleetSize, private val fleet: SyntheticFleet) {
    private var revision = 1L
    private var offset = 0L
    private var peer = 0

    /** The reducer and the state of the VM. */
    val drive = Drive(RouterState.initial(fleet.settings()))

    /** Puts the configuration in force, and lets all peers and backend servers be heard. */
    fun begin() {
        val snapshot = ConfigurationRecord.Snapshot(fleet.configuration())
        read(LogStream.CONFIGURATION, LogRecord.OfConfiguration(snapshot))
        tick()
        repeat(size.vms) { digest() }
        drive.state.status(Timestamp(drive.now)).running.keys.sorted().forEach { server ->
            step(Event.OfBackend.LoadReported(server, StartIdentity("$server-1"), 0, WARM_MILLISECONDS))
        }
    }

    /** Lets time pass. */
    fun tick() {
        drive.now += TICK_MILLISECONDS
        step(Event.Tick)
    }

    /** Reduces [event], and answers reads and appends at once, so that the router goes on as it would. */
    fun step(event: Event): List<Effect> = drive.reduce(event).flatMap { effect ->
        when (effect) {
            is Effect.OfPlatform.Read ->
                step(Event.OfPlatform.LogRead(effect.stream, persistentListOf(), effect.from, earliest = 0))
            is Effect.OfPlatform.Append -> step(Event.OfPlatform.LogAppended(effect.append))
            else -> listOf(effect)
        }
    }

    /** Lets the next peer tell its revision. */
    fun digest() {
        peer = peer % (size.vms - 1) + 1
        step(Event.FromPeer(VmId("vm-${peer + 1}"), stamp = 1, message = PeerMessage.Digest(revision)))
    }

    /** Lets [server] report its load. */
    fun load(server: BackendServerId) {
        step(Event.OfBackend.LoadReported(server, StartIdentity("$server-1"), 1, WARM_MILLISECONDS))
    }

    /** Lets an operator change the configuration. */
    fun change(number: Int) {
        val zone = fleet.configuration().zones.first()
        val change = ConfigurationChange.SetZone(zone, inService = number % 2 == 1)
        val record = ConfigurationRecord.Proposed(revision, "operator", change)
        revision += 1
        read(LogStream.CONFIGURATION, LogRecord.OfConfiguration(record))
    }

    /** Lets another VM run a command. */
    fun command(key: String) {
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
    fun answer(name: String, pieces: Int) {
        val started = arrive(name) ?: error("request $name was not started")
        val attempt = started.order.attempt
        step(Event.OfBackend.Accepted(attempt, StartIdentity("${started.order.server}-1")))
        repeat(pieces) { step(Event.OfBackend.ChunkReceived(attempt, it, 1, "word ")) }
        step(Event.OfBackend.Finished(attempt, pieces, STATUS))
        tick()
    }

    /** Lets a request arrive; returns the order that it leads to. */
    fun arrive(name: String): Effect.OfBackend.Start? {
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

    companion object {
        /** The pieces of a long answer. */
        const val PIECES = 200

        private const val STATUS = 200
        private const val TICK_MILLISECONDS = 20L
        private const val WARM_MILLISECONDS = 600_000L
    }
}

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

/**
 * The router of one VM in a fleet of [size], and the events that it receives from callers, peers, backend servers and
 * the log.
 */
internal class SimulatedVm(private val size: FleetSize, private val fleet: SyntheticFleet) {
    private var revision = 1L
    private var offset = 0L
    private var peer = 0

    /** Runs the reducer on the state of this VM. */
    val harness = ReducerHarness(RouterState.initial(fleet.settings()))

    /**
     * Applies the configuration, then receives a digest from each peer and a load report from each backend server that
     * this VM may send requests to.
     */
    fun initialize() {
        val snapshot = ConfigurationRecord.Snapshot(fleet.configuration())
        receiveRecord(LogStream.CONFIGURATION, LogRecord.OfConfiguration(snapshot))
        tick()
        repeat(size.vms) { receiveDigest() }
        harness.state.status(Timestamp(harness.now)).running.keys.sorted().forEach { server ->
            process(Event.OfBackend.LoadReported(server, StartIdentity("$server-1"), 0, WARM_MILLISECONDS))
        }
    }

    /** Advances the time by one tick. */
    fun tick() {
        harness.now += TICK_MILLISECONDS
        process(Event.Tick)
    }

    /**
     * Reduces [event] and returns its effects.
     *
     * Log reads and appends are not returned. They succeed at once, reads without records, so that the router does not
     * wait for them; the effects that this leads to are returned instead.
     */
    fun process(event: Event): List<Effect> = harness.reduce(event).flatMap { effect ->
        when (effect) {
            is Effect.OfPlatform.Read ->
                process(Event.OfPlatform.LogRead(effect.stream, persistentListOf(), effect.from, earliest = 0))
            is Effect.OfPlatform.Append -> process(Event.OfPlatform.LogAppended(effect.append))
            else -> listOf(effect)
        }
    }

    /** Receives a digest with the current configuration revision from the next peer in turn. */
    fun receiveDigest() {
        peer = peer % (size.vms - 1) + 1
        process(Event.FromPeer(VmId("vm-${peer + 1}"), stamp = 1, message = PeerMessage.Digest(revision)))
    }

    /** Receives a load report from [server]. */
    fun receiveLoadReport(server: BackendServerId) {
        process(Event.OfBackend.LoadReported(server, StartIdentity("$server-1"), 1, WARM_MILLISECONDS))
    }

    /** Reads a configuration change from the log: it puts the first zone into service if [number] is odd, else out. */
    fun receiveConfigurationChange(number: Int) {
        val zone = fleet.configuration().zones.first()
        val change = ConfigurationChange.SetZone(zone, inService = number % 2 == 1)
        val record = ConfigurationRecord.Proposed(revision, "operator", change)
        revision += 1
        receiveRecord(LogStream.CONFIGURATION, LogRecord.OfConfiguration(record))
    }

    /** Reads the intent and the outcome of a command that another VM ran from the log. */
    fun receiveCommand(key: String) {
        val command = CommandId(fleet.workspace, IdempotencyKey(key))
        val request = RequestId(key)
        receiveRecord(LogStream.COMMANDS, LogRecord.Intent(command, VmId("vm-2"), request, Fingerprint(1)))
        receiveRecord(LogStream.COMMANDS, LogRecord.Outcome(command, request, CommandResult.Answered(STATUS, "{}")))
    }

    private fun receiveRecord(stream: LogStream, record: LogRecord) {
        offset += 1
        process(Event.OfPlatform.LogRead(stream, persistentListOf(LogEntry(offset, 1, record)), offset + 1, 0))
    }

    /** Runs one streamed request from its arrival to its end, with [chunks] chunks in the answer, and one tick. */
    fun runRequest(name: String, chunks: Int) {
        val started = receiveRequest(name) ?: error("request $name was not started")
        val attempt = started.order.attempt
        process(Event.OfBackend.Accepted(attempt, StartIdentity("${started.order.server}-1")))
        repeat(chunks) { process(Event.OfBackend.ChunkReceived(attempt, it, 1, "word ")) }
        process(Event.OfBackend.Finished(attempt, chunks, STATUS))
        tick()
    }

    /** Receives a request. Returns the effect that starts its attempt, or `null` if none was started. */
    fun receiveRequest(name: String): Effect.OfBackend.Start? {
        val call = CallerRequest(
            workspace = fleet.workspace,
            target = Target.Completion(model = "model-1", maximumTokens = CHUNKS, streamed = true),
            timeoutMilliseconds = WARM_MILLISECONDS,
            body = "a prompt of a few words",
        )
        return process(Event.OfCaller.Arrived(RequestId(name), call))
            .filterIsInstance<Effect.OfBackend.Start>()
            .firstOrNull()
    }

    companion object {
        /** The number of chunks of a long answer, and the maximum number of tokens that requests ask for. */
        const val CHUNKS = 200

        private const val STATUS = 200
        private const val TICK_MILLISECONDS = 20L

        /** The uptime of backend servers, long enough to be warm; also the timeout of requests. */
        private const val WARM_MILLISECONDS = 600_000L
    }
}

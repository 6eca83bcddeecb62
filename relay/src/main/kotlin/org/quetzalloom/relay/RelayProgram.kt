package org.quetzalloom.relay

import io.netty.channel.nio.NioEventLoopGroup
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPolicies
import org.quetzalloom.core.relay.RelayReducer
import org.quetzalloom.core.relay.RelaySettings
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.time.Clock
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.relay.caller.CallerSocket
import org.quetzalloom.relay.http.CallClient
import org.quetzalloom.relay.http.CallForwarder
import org.quetzalloom.relay.http.MessageCodec
import org.quetzalloom.relay.http.StatusServer
import org.quetzalloom.relay.peer.PeerSocket
import org.quetzalloom.relay.reader.ReaderServer
import org.quetzalloom.relay.report.ExplanationPage
import org.quetzalloom.relay.report.RelayMetrics
import org.quetzalloom.relay.report.Reporter
import org.quetzalloom.runtime.Interpreter
import org.quetzalloom.runtime.PauseDetector
import org.quetzalloom.runtime.SystemClock
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * A relay with its listeners: one thread serves all sockets, reduces events and carries out effects.
 *
 * The `platform` module runs it as the router on the users' platform. The router with its own interface, in the
 * `daemon` module, does not use it.
 *
 * @param settings the initial settings of the reducer.
 * @param listeners the addresses on which the relay listens.
 * @param codec encodes and decodes the headers of the front end.
 * @param store creates the interpreter of the effects that concern the platform's store, from an HTTP client and a
 *   function that posts events to the reducer.
 * @param memory the memory that messages may take.
 */
public class RelayProgram(
    settings: RelaySettings,
    private val listeners: Listeners,
    codec: MessageCodec,
    store: (CallClient, (RelayEvent) -> Unit) -> Interpreter<RelayEffect>,
    policies: RelayPolicies = RelayPolicies(),
    memory: MemoryLimits = MemoryLimits(),
) {
    private val clock: Clock = SystemClock()
    private val group = NioEventLoopGroup(1)
    private val executor = group.next()
    private val finished = CompletableFuture<RelayEffect.Finish>()
    private val pauses = PauseDetector(monotonic = clock, timeOfDay = { Timestamp(System.currentTimeMillis()) })
    private val loop =
        RelayLoop<RelayState, RelayEvent, RelayEffect>(
            initial = RelayState.initial(settings, policies),
            reducer = RelayReducer,
            events = ProgramEvents(pauses),
            eventLoop = executor,
            clock = clock,
        )
    private val metrics = RelayMetrics { loop.state }
    private val reporter = Reporter(metrics)
    private val relay = Relay(group, codec, reporter, clock, memory, loop::post)
    private val peers = PeerSocket(group, reporter, loop::post)
    private val callClient = CallClient(group)
    private val readers = ReaderServer(listeners.peers, loop::post)
    private val storeInterpreter = store(callClient, loop::post)
    private var ready = false

    /**
     * Binds all listeners and starts the ticks, from which the reducer starts to read the store.
     *
     * Throws if an address cannot be bound.
     */
    public fun start() {
        loop.interpreter = Interpreter { carryOut(it) }
        loop.onProblem = reporter::reportProblem
        metrics.registerConnectionGauges(relay)
        val status = StatusServer(group, relay.requestMemory)
        status.listen(listeners.ready) { StatusServer.Page(ok = ready, text = if (ready) "ready\n" else "not ready\n") }
        listeners.metrics?.let { address ->
            val explanations = ExplanationPage(clock) { loop.state }
            status.listen(address) { request ->
                explanations.pageOrNull(request) ?: StatusServer.Page(ok = true, text = metrics.format())
            }
        }
        listeners.peers?.let { address ->
            peers.listen(address)
            listeners.forwarding?.let {
                CallForwarder(group, callClient, it, relay.requestMemory, readers).listen(address)
            }
        }
        relay.attach(listeners.callerSocket ?: CallerSocket.bind(listeners.callers))
        executor.execute { loop.startTicking() }
        executor.scheduleWithFixedDelay(
            relay::prune,
            PRUNE_INTERVAL_MILLISECONDS,
            PRUNE_INTERVAL_MILLISECONDS,
            TimeUnit.MILLISECONDS,
        )
    }

    /** Posts [event] to the reducer. May be called from any thread. */
    public fun post(event: RelayEvent): Unit = executor.execute { loop.post(event) }

    /**
     * Blocks until the reducer has ended the relay. Returns whether it was asked to stop; otherwise it cannot go on,
     * and the process should end with a status that says so.
     */
    public fun awaitTermination(): Boolean = !finished.get().failed

    private fun carryOut(effect: RelayEffect) {
        when (effect) {
            is RelayEffect.Report -> reporter.report(effect.entry)
            is RelayEffect.SetReady -> ready = effect.ready
            is RelayEffect.SendBeacon -> peers.send(effect)
            is RelayEffect.AnswerFeed, is RelayEffect.AnswerMembers -> readers.carryOut(effect)
            is RelayEffect.Finish -> relay.awaitCallers(effect.withinMilliseconds) { finished.complete(effect) }
            else -> {
                relay.carryOut(effect)
                storeInterpreter.carryOut(effect)
            }
        }
    }

    private class ProgramEvents(private val pauses: PauseDetector) : LoopEvents<RelayEvent> {
        override val tick = RelayEvent.Tick

        override fun pauseOrNull(): RelayEvent? =
            pauses.pauseMilliseconds().takeIf { it > 0 }?.let { RelayEvent.PauseDetected(it) }

        override fun failureOrNull(event: RelayEvent): RelayEvent? =
            RelayEvent.TickFailed.takeIf { event == RelayEvent.Tick }
    }

    private companion object {
        const val PRUNE_INTERVAL_MILLISECONDS = 500L
    }
}

package org.quetzalloom.core.rig

import org.quetzalloom.core.configuration.ConfigurationChange
import org.quetzalloom.core.configuration.ConfigurationRecord
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.log.LogStream
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.request.CallerRequest
import org.quetzalloom.core.router.RouterReducer
import org.quetzalloom.core.router.RouterSettings
import org.quetzalloom.core.router.RouterState
import kotlin.random.Random

/**
 * A deterministic simulation of a fleet: runs the reducers of several routers against fake backend servers, a fake log
 * and fake callers. Time is virtual, and all delays and faults are drawn from one seed.
 *
 * @param settingsOf returns the settings of a VM for its incarnation.
 * @param reducer the reducer under test; a test that disables a mechanism passes a modified one.
 */
class Rig(
    seed: Long,
    vms: List<VmId>,
    private val settingsOf: (VmId, String) -> RouterSettings,
    private val reducer: Reducer<RouterState, Event, Effect> = RouterReducer,
) {
    private class Node(val incarnation: Int, var state: RouterState) {
        var frozen = false
        val backlog = mutableListOf<Event>()
    }

    private val nodes = mutableMapOf<VmId, Node>()
    private val incarnations = mutableMapOf<VmId, Int>()
    private var sent = 0

    val random = Random(seed)
    val schedule = Schedule()
    val log = FakeLog()
    val servers = mutableMapOf<BackendServerId, FakeServer>()
    val callers = mutableListOf<FakeCaller>()

    /** The trace of the run, one line for each report of a router, start, stop and fault. */
    val trace = mutableListOf<String>()

    /** The id of the request of each attempt, by the id of the attempt. */
    val requestsByAttempt = mutableMapOf<String, String>()

    /** VMs that cannot reach the log. */
    val cutFromLog = mutableSetOf<VmId>()

    /** VMs that cannot reach any peer. */
    val cutFromPeers = mutableSetOf<VmId>()

    /** Decides which peer messages are lost. */
    var dropsMessage: (PeerMessage) -> Boolean = { false }

    init {
        vms.forEach { start(it) }
    }

    /** The VMs that run, including frozen ones, in order of id. */
    val up: List<VmId> get() = nodes.keys.sorted()

    fun state(vm: VmId): RouterState = nodes.getValue(vm).state

    /** Starts a new incarnation of [vm] with an empty state. */
    fun start(vm: VmId) {
        val incarnation = (incarnations[vm] ?: 0) + 1
        incarnations[vm] = incarnation
        nodes[vm] = Node(incarnation, RouterState.initial(settingsOf(vm, "i$incarnation")))
        addToTrace(vm, "started")
        tick(vm, incarnation)
    }

    /** Kills [vm]: its state and its connections to callers are lost. */
    fun kill(vm: VmId) {
        nodes.remove(vm)
        addToTrace(vm, "killed")
        callers.filter { it.pending && it.request.value.startsWith("$vm/") }
            .forEach { addToTrace(vm, "lost ${it.request}") }
    }

    /** Freezes [vm]: it does not run; ticks are skipped, and other events queue up until [unfreeze]. */
    fun freeze(vm: VmId) {
        nodes[vm]?.frozen = true
        addToTrace(vm, "frozen")
    }

    fun unfreeze(vm: VmId) {
        val node = nodes[vm] ?: return
        node.frozen = false
        addToTrace(vm, "unfrozen")
        val waiting = node.backlog.toList()
        node.backlog.clear()
        waiting.forEach { deliver(vm, node.incarnation, it) }
    }

    fun shutDown(vm: VmId) = nodes[vm]?.let { deliver(vm, it.incarnation, Event.ShutdownRequested) }

    /** Sends [call] to [vm] and returns its caller. */
    fun send(vm: VmId, call: CallerRequest): FakeCaller {
        sent += 1
        val caller = FakeCaller(RequestId("$vm/$sent"), call, schedule.now)
        callers.add(caller)
        post(vm, Event.OfCaller.Arrived(caller.request, call), latency())
        return caller
    }

    /** Appends [change], proposed by [author] on the revision [base]; returns whether the append was confirmed. */
    fun change(base: Long, change: ConfigurationChange, author: String = "operator"): Boolean {
        val record = LogRecord.OfConfiguration(ConfigurationRecord.Proposed(base, author, change))
        return log.append(LogStream.CONFIGURATION, stamp = 0, records = listOf(record))
    }

    fun runFor(milliseconds: Long) = schedule.runFor(milliseconds)

    /** Returns the runs of commands at all backend servers, by command. */
    fun commandRuns(): Map<String, List<Run>> = servers.values.flatMap { it.runs }
        .filter { it.order.scope != null }
        .groupBy { it.order.scope.orEmpty() }

    private fun tick(vm: VmId, incarnation: Int) {
        deliver(vm, incarnation, Event.Tick)
        schedule.after(TICK_MILLISECONDS) { if (nodes[vm]?.incarnation == incarnation) tick(vm, incarnation) }
    }

    private fun post(vm: VmId, event: Event, delay: Long) {
        val incarnation = nodes[vm]?.incarnation ?: return
        schedule.after(delay) { deliver(vm, incarnation, event) }
    }

    private fun deliver(vm: VmId, incarnation: Int, event: Event) {
        val node = nodes[vm]?.takeIf { it.incarnation == incarnation } ?: return
        if (node.frozen) {
            if (event != Event.Tick) node.backlog.add(event)
            return
        }
        val transition = reducer.reduce(node.state, event, schedule.timestamp)
        node.state = transition.state
        transition.effects.forEach { execute(vm, incarnation, it) }
    }

    private fun execute(vm: VmId, incarnation: Int, effect: Effect) {
        when (effect) {
            is Effect.OfCaller -> callers.first { it.request == effect.request }.receive(effect, schedule.now)
            is Effect.OfBackend -> execute(vm, effect)
            is Effect.OfPlatform -> execute(vm, effect)
            is Effect.SendToPeer -> tell(vm, effect)
            is Effect.Report -> report(vm, effect)
            is Effect.Stop -> schedule.after(0) {
                if (nodes[vm]?.incarnation == incarnation) {
                    nodes.remove(vm)
                    addToTrace(vm, "stopped")
                }
            }
        }
    }

    private fun report(vm: VmId, effect: Effect.Report) {
        addToTrace(vm, "${effect.entry.name} ${effect.entry.fields.toSortedMap()}")
        if (effect.entry.name == "attempt_started") {
            requestsByAttempt[effect.entry.fields.getValue("attempt")] = effect.entry.fields.getValue("request")
        }
    }

    private fun execute(vm: VmId, effect: Effect.OfBackend) {
        when (effect) {
            is Effect.OfBackend.Start -> {
                val connection = Connection(vm)
                schedule.after(
                    latency()
                ) { servers.getValue(effect.order.server).handle(effect.order, connection::reply) }
            }
            is Effect.OfBackend.Cancel -> schedule.after(latency()) {
                servers.values.forEach { it.cancel(effect.attempt) }
            }
            is Effect.OfBackend.RequestLoadReport -> schedule.after(latency()) {
                post(vm, servers.getValue(effect.server).load(), latency())
            }
        }
    }

    /** Delivers the events of one attempt in the order in which they were sent, each with a random latency. */
    private inner class Connection(private val vm: VmId) {
        private val incarnation = nodes[vm]?.incarnation ?: 0
        private var lastAt = 0L

        fun reply(event: Event) {
            lastAt = maxOf(lastAt, schedule.now + latency())
            schedule.after(lastAt - schedule.now) { deliver(vm, incarnation, event) }
        }
    }

    private fun execute(vm: VmId, effect: Effect.OfPlatform) {
        val cut = vm in cutFromLog
        when (effect) {
            is Effect.OfPlatform.Append -> schedule.after(latency()) {
                val event = if (cut) Event.OfPlatform.LogAppendFailed(effect.append) else log.append(effect)
                post(vm, event, latency())
            }
            is Effect.OfPlatform.Read -> schedule.after(latency()) {
                val event = if (cut) Event.OfPlatform.LogReadFailed(effect.stream) else log.read(effect)
                post(vm, event, latency())
            }
            else -> Unit
        }
    }

    private fun tell(vm: VmId, effect: Effect.SendToPeer) {
        val cut = vm in cutFromPeers || effect.to in cutFromPeers || dropsMessage(effect.message)
        if (!cut) post(effect.to, Event.FromPeer(vm, effect.stamp, effect.message), latency())
    }

    private fun addToTrace(vm: VmId, text: String) {
        trace.add("${schedule.now} $vm $text")
    }

    private fun latency(): Long = random.nextLong(1, LONGEST_LATENCY_MILLISECONDS)

    private companion object {
        const val TICK_MILLISECONDS = 20L
        const val LONGEST_LATENCY_MILLISECONDS = 8L
    }
}

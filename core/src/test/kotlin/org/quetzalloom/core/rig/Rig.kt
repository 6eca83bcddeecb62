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
 * Moves effects to events between a few routers and the fakes, in virtual time, under a seed.
 *
 * @param settingsOf the settings of each VM, by its incarnation.
 * @param reducer the reducer under test; a test that takes a mechanism out passes another.
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

    /** What happened, a line each. */
    val trace = mutableListOf<String>()

    /** The request of each attempt. */
    val requestsByAttempt = mutableMapOf<String, String>()

    /** VMs that cannot reach the log. */
    val cutFromLog = mutableSetOf<VmId>()

    /** VMs that cannot reach any peer. */
    val cutFromPeers = mutableSetOf<VmId>()

    /** Peer messages that are lost. */
    var losesMessage: (PeerMessage) -> Boolean = { false }

    init {
        vms.forEach { start(it) }
    }

    val up: List<VmId> get() = nodes.keys.sorted()

    fun state(vm: VmId): RouterState = nodes.getValue(vm).state

    /** Starts [vm], with nothing but its settings. */
    fun start(vm: VmId) {
        val incarnation = (incarnations[vm] ?: 0) + 1
        incarnations[vm] = incarnation
        nodes[vm] = Node(incarnation, RouterState.initial(settingsOf(vm, "i$incarnation")))
        note(vm, "started")
        tick(vm, incarnation)
    }

    fun kill(vm: VmId) {
        nodes.remove(vm)
        note(vm, "killed")
        callers.filter { it.pending && it.request.value.startsWith("$vm/") }
            .forEach { note(vm, "lost ${it.request}") }
    }

    fun freeze(vm: VmId) {
        nodes[vm]?.frozen = true
        note(vm, "frozen")
    }

    fun thaw(vm: VmId) {
        val node = nodes[vm] ?: return
        node.frozen = false
        note(vm, "thawed")
        val waiting = node.backlog.toList()
        node.backlog.clear()
        waiting.forEach { deliver(vm, node.incarnation, it) }
    }

    fun shutDown(vm: VmId) = nodes[vm]?.let { deliver(vm, it.incarnation, Event.ShutdownRequested) }

    /** Lets a caller send [call] to [vm]. */
    fun send(vm: VmId, call: CallerRequest): FakeCaller {
        sent += 1
        val caller = FakeCaller(RequestId("$vm/$sent"), call, schedule.now)
        callers.add(caller)
        post(vm, Event.OfCaller.Arrived(caller.request, call), latency())
        return caller
    }

    /** Appends a change of an operator on top of [base]. */
    fun change(base: Long, change: ConfigurationChange, author: String = "operator"): Boolean {
        val record = LogRecord.OfConfiguration(ConfigurationRecord.Proposed(base, author, change))
        return log.append(LogStream.CONFIGURATION, stamp = 0, records = listOf(record))
    }

    fun runFor(milliseconds: Long) = schedule.runFor(milliseconds)

    /** The runs of commands, by their scope. */
    fun commandRuns(): Map<String, List<Run>> = servers.values.flatMap { it.books }
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
        transition.effects.forEach { carryOut(vm, incarnation, it) }
    }

    private fun carryOut(vm: VmId, incarnation: Int, effect: Effect) {
        when (effect) {
            is Effect.OfCaller -> callers.first { it.request == effect.request }.receive(effect, schedule.now)
            is Effect.OfBackend -> carryOut(vm, effect)
            is Effect.OfPlatform -> carryOut(vm, effect)
            is Effect.SendToPeer -> tell(vm, effect)
            is Effect.Report -> report(vm, effect)
            is Effect.Stop -> schedule.after(0) {
                if (nodes[vm]?.incarnation == incarnation) {
                    nodes.remove(vm)
                    note(vm, "stopped")
                }
            }
        }
    }

    private fun report(vm: VmId, effect: Effect.Report) {
        note(vm, "${effect.entry.name} ${effect.entry.fields.toSortedMap()}")
        if (effect.entry.name == "attempt_started") {
            requestsByAttempt[effect.entry.fields.getValue("attempt")] = effect.entry.fields.getValue("request")
        }
    }

    private fun carryOut(vm: VmId, effect: Effect.OfBackend) {
        when (effect) {
            is Effect.OfBackend.Start -> {
                val connection = Connection(vm)
                schedule.after(
                    latency()
                ) { servers.getValue(effect.order.server).take(effect.order, connection::reply) }
            }
            is Effect.OfBackend.Cancel -> schedule.after(latency()) {
                servers.values.forEach { it.cancel(effect.attempt) }
            }
            is Effect.OfBackend.RequestLoadReport -> schedule.after(latency()) {
                post(vm, servers.getValue(effect.server).load(), latency())
            }
        }
    }

    /** Delivers in order, as one connection does. */
    private inner class Connection(private val vm: VmId) {
        private val incarnation = nodes[vm]?.incarnation ?: 0
        private var lastAt = 0L

        fun reply(event: Event) {
            lastAt = maxOf(lastAt, schedule.now + latency())
            schedule.after(lastAt - schedule.now) { deliver(vm, incarnation, event) }
        }
    }

    private fun carryOut(vm: VmId, effect: Effect.OfPlatform) {
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
        val cut = vm in cutFromPeers || effect.to in cutFromPeers || losesMessage(effect.message)
        if (!cut) post(effect.to, Event.FromPeer(vm, effect.stamp, effect.message), latency())
    }

    private fun note(vm: VmId, text: String) {
        trace.add("${schedule.now} $vm $text")
    }

    private fun latency(): Long = random.nextLong(1, LONGEST_LATENCY_MILLISECONDS)

    private companion object {
        const val TICK_MILLISECONDS = 20L
        const val LONGEST_LATENCY_MILLISECONDS = 8L
    }
}

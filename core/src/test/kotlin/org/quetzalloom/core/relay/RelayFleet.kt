package org.quetzalloom.core.relay

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedAnswer
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.feed.FeedProblem
import org.quetzalloom.core.relay.peer.PeerBeacon
import org.quetzalloom.core.relay.rollout.RolloutPhase
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.core.timeline.TimelineEntry
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Drives the reducers of several relays in virtual time, with a simple store and network between them.
 *
 * @param routers the number of routers.
 * @param seed the seed of all delays and losses.
 * @param beaconLoss the share of beacons that are lost, from 0 to 1.
 * @param reducer the reducer of all routers.
 * @param initialState the state of a router that has just started.
 * @param respond the response to each attempt, from the backend server's id and the time since the start.
 */
class RelayFleet(
    routers: Int,
    seed: Long,
    private val beaconLoss: Double = 0.0,
    private val reducer: Reducer<RelayState, RelayEvent, RelayEffect> = RelayReducer,
    private val initialState: (VmId) -> RelayState = { RelayState.initial(RelayRig.settings(it.value)) },
    private val respond: (server: String, elapsed: Long) -> ResponseHead = { _, _ -> ResponseHead(status = 200) },
) {
    private class Pending(val at: Timestamp, val order: Long, val vm: VmId, val event: RelayEvent)

    /** A call of one router to another, and the failure that it gets at its timeout. */
    private class PeerCall(
        val caller: VmId,
        val reader: VmId,
        val failure: RelayEvent,
        val until: Timestamp,
        val generation: Long = 0,
    )

    val vms: List<VmId> = (1..routers).map { VmId("vm-${it.toString().padStart(DIGITS, '0')}") }
    val states: MutableMap<VmId, RelayState> =
        vms.associateWith { initialState(it) }.toMutableMap()

    /** Called for each attempt that a router sends, with the request that it belongs to. */
    var onSend: (request: RelayRequest, server: String) -> Unit = { _, _ -> }

    private val random = Random(seed)
    private val start = Timestamp(1_000_000)
    internal var now = start
        private set
    internal val store =
        FleetStore(isCut = { sender, receiver -> sender to receiver in cutLinks }) { vm, event, delay ->
            deliver(vm, event, delay)
        }

    /** The routers whose calls the store refuses, and those that stand still. */
    val refused: MutableSet<VmId> get() = store.refused
    val paused: MutableSet<VmId> = mutableSetOf()

    /** The links on which nothing arrives, from sender to receiver. */
    val cutLinks: MutableSet<Pair<VmId, VmId>> = mutableSetOf()

    /** The routers that reach no backend server, and how their attempts end. */
    val cutFromServers: MutableMap<VmId, ServerCut> = mutableMapOf()

    /** Called when a request at a router has ended, with whether it was answered by a backend server. */
    var onEnd: (vm: VmId, exchange: ExchangeId, served: Boolean) -> Unit = { _, _, _ -> }

    /** Called for each entry of the timeline that a router reports. */
    var onReport: (vm: VmId, entry: TimelineEntry) -> Unit = { _, _ -> }

    /** The share of calls between routers that get no answer, and of those whose answer arrives twice. */
    var callLoss = 0.0
    var doubled = 0.0

    /** The number of calls that the store has got, without joins. */
    val storeCalls: Int get() = store.calls

    /** Called for each beacon that is delivered; returns what the receiver gets instead. */
    var tamper: (receiver: VmId, beacon: PeerBeacon) -> PeerBeacon = { _, beacon -> beacon }

    /** Called for each answer of a reader; returns what the caller gets instead. */
    var tamperAnswer: (reader: VmId, feed: Feed, answer: FeedAnswer) -> FeedAnswer = { _, _, answer -> answer }

    /** Called when the store has accepted a status. */
    var onStatus: (writer: VmId, phase: RolloutPhase) -> Unit = { _, _ -> }

    /** The first tick of each router, so that they do not act in step. */
    private val firstTicks = vms.associateWith { start + random.nextLong(LATEST_START) }
    private val queue = PriorityQueue<Pending>(compareBy({ it.at }, { it.order }))

    /** The requests that were handed over, by their ids at the router that answers them. */
    private val handovers = mutableMapOf<ExchangeId, Pair<VmId, RelayEffect.Send>>()
    private val peerCalls = mutableMapOf<Long, PeerCall>()
    private var events = 0L
    private var requests = 0L

    val elapsed: Long get() = now - start

    /** The member of the group that the store names the leader. */
    val leader: VmId get() = store.leader

    /** Appends [entries] to [feed], as operators and servers do. */
    fun write(feed: Feed, vararg entries: FeedEntry): Unit = store.write(feed, entries.toList())

    /** Delivers [request] to the router [vm]. */
    fun arrive(vm: VmId, request: RelayRequest): ExchangeId = ExchangeId(++requests).also {
        deliver(vm, RelayEvent.RequestArrived(it, request.copy(callerId = "f-$requests")))
    }

    /** Lets [vm] stand still: reads that wait at it fail only by their timeouts. */
    fun pause(vm: VmId) {
        paused += vm
    }

    /** Starts [vm] anew, with nothing of what it knew. */
    fun restart(vm: VmId) {
        states[vm] = initialState(vm)
        store.forget(vm)
        peerCalls.values.removeAll { it.caller == vm }
        queue.removeIf { it.vm == vm }
    }

    /** Lets [milliseconds] pass; [load] runs after each tick. */
    fun pass(milliseconds: Long, load: () -> Unit = {}) {
        val end = now + milliseconds
        while (now < end) {
            now += RelayRig.TICK
            while (queue.peek()?.let { it.at <= now } == true) queue.poll().let { reduce(it.vm, it.event) }
            store.expire(now)
            expirePeerCalls()
            (vms - paused).filter { now >= firstTicks.getValue(it) }.forEach { reduce(it, RelayEvent.Tick) }
            load()
        }
    }

    private fun reduce(vm: VmId, event: RelayEvent) {
        if (vm in paused) return deliver(vm, event)
        val transition = reducer.reduce(states.getValue(vm), event, now)
        states[vm] = transition.state
        transition.effects.forEach { carryOut(vm, it) }
    }

    private fun deliver(vm: VmId, event: RelayEvent, milliseconds: Long = 0) {
        queue.add(Pending(now + milliseconds + random.nextLong(1, LONGEST_DELAY), ++events, vm, event))
    }

    private fun carryOut(vm: VmId, effect: RelayEffect) {
        when (effect) {
            is RelayEffect.SetStorePath -> setPath(vm, effect.viaRouter?.toVm())
            is RelayEffect.ReadFeed -> if (effect.reader == null) store.read(vm, effect, now) else ask(vm, effect)
            is RelayEffect.JoinGroup -> store.join(vm, effect, now)
            is RelayEffect.ListMembers -> if (effect.reader == null) store.list(vm, effect, now) else ask(vm, effect)
            is RelayEffect.AnswerFeed -> answerFeed(vm, effect)
            is RelayEffect.AnswerMembers -> answerMembers(vm, effect)
            is RelayEffect.SendBeacon -> effect.addresses.forEach { send(vm, effect.beacon, it.toVm()) }
            is RelayEffect.WriteRolloutStatus -> writeStatus(vm, effect)
            else -> carryOutRequest(vm, effect)
        }
    }

    private fun carryOutRequest(vm: VmId, effect: RelayEffect) {
        when (effect) {
            is RelayEffect.Send -> send(vm, effect)
            is RelayEffect.ForwardResponse -> {
                deliver(vm, RelayEvent.ResponseFinished(effect.exchange, effect.attempt))
                end(vm, effect.exchange, ResponseHead(SUCCESS))
            }
            is RelayEffect.Refuse ->
                end(vm, effect.exchange, ResponseHead(effect.kind.status, signed = false))
            is RelayEffect.Report -> onReport(vm, effect.entry)
            is RelayEffect.AbortResponse -> end(vm, effect.exchange, head = null)
            is RelayEffect.ProbeServer -> {
                val connected = vm !in cutFromServers
                val probed = RelayEvent.ServerProbed(effect.service, effect.server, connected)
                deliver(vm, probed, if (connected) 0 else CONNECT_TIMEOUT)
            }
            else -> Unit
        }
    }

    private fun send(vm: VmId, effect: RelayEffect.Send) {
        val server = effect.parameters.server ?: return handOver(vm, effect)
        val cut = cutFromServers[vm]
        if (cut != null) return cut.send(server.value, effect) { event, delay -> deliver(vm, event, delay) }
        states.getValue(vm).exchanges.byId[effect.exchange]?.let { onSend(it.request, server.value) }
        deliver(vm, RelayEvent.ResponseStarted(effect.exchange, effect.attempt, respond(server.value, elapsed)))
    }

    private fun handOver(vm: VmId, effect: RelayEffect.Send) {
        val request = states.getValue(vm).exchanges.byId[effect.exchange]?.request ?: return
        val id = ExchangeId(++requests)
        handovers[id] = vm to effect
        val handedOver = request.copy(earlierRuns = effect.parameters.earlierRuns)
        deliver(effect.parameters.address.toVm(), RelayEvent.RequestArrived(id, handedOver))
    }

    /** Handles the end of a request at [vm] with a response, or without one if [head] is `null`. */
    private fun end(vm: VmId, exchange: ExchangeId, head: ResponseHead?) {
        val handover = handovers.remove(exchange)
        if (handover == null) return onEnd(vm, exchange, head?.status == SUCCESS)
        val (caller, sent) = handover
        val event = if (head == null) {
            RelayEvent.AttemptFailed(sent.exchange, sent.attempt, AttemptFailure.CONNECTION_LOST)
        } else {
            RelayEvent.ResponseStarted(sent.exchange, sent.attempt, head)
        }
        deliver(caller, event)
    }

    private fun setPath(vm: VmId, viaRouter: VmId?) {
        if (viaRouter == null) store.paths.remove(vm) else store.paths[vm] = viaRouter
    }

    private fun String.toVm(): VmId = VmId(substringBefore(':'))

    private fun ask(vm: VmId, effect: RelayEffect.ReadFeed) {
        val failure = RelayEvent.FeedFailed(
            feed = effect.feed,
            problem = FeedProblem.UNAVAILABLE,
            detail = "silent",
            throughReader = true,
            number = effect.number,
        )
        val until = now + effect.readerTimeoutMilliseconds
        ask(PeerCall(vm, effect.reader.orEmpty().toVm(), failure, until)) {
            RelayEvent.FeedAsked(it, effect.feed, effect.from, effect.waitMilliseconds, effect.era)
        }
    }

    private fun ask(vm: VmId, effect: RelayEffect.ListMembers) {
        val failure = RelayEvent.GroupFailed("silent", throughReader = true)
        ask(PeerCall(vm, effect.reader.orEmpty().toVm(), failure, now + MEMBERS_TIMEOUT, effect.generation)) {
            RelayEvent.MembersAsked(it, effect.generation)
        }
    }

    private fun ask(call: PeerCall, event: (Long) -> RelayEvent) {
        val number = ++events
        peerCalls[number] = call
        if (call.caller to call.reader !in cutLinks) deliver(call.reader, event(number))
    }

    private fun answerFeed(vm: VmId, effect: RelayEffect.AnswerFeed): Unit = answer(vm, effect.call) { call ->
        val feed = (call.failure as RelayEvent.FeedFailed).feed
        effect.answer?.let { tamperAnswer(vm, feed, it) }?.let {
            RelayEvent.FeedRead(
                feed = feed,
                entries = it.records.mapNotNull { record -> record.entry },
                nextOffset = it.nextOffset,
                snapshot = it.snapshot,
                throughReader = true,
                records = it.records,
                ageMilliseconds = it.ageMilliseconds,
                storeFailedMillisecondsAgo = it.storeFailedMillisecondsAgo,
                generation = it.generation,
                tooLarge = it.tooLarge,
                number = call.failure.number,
                era = it.era,
            )
        }
    }

    private fun answerMembers(vm: VmId, effect: RelayEffect.AnswerMembers): Unit = answer(vm, effect.call) { call ->
        effect.addresses?.let { RelayEvent.MembersListed(call.generation, it + (vm to "$vm:70")) }
    }

    private fun answer(vm: VmId, number: Long, event: (PeerCall) -> RelayEvent?) {
        val call = peerCalls[number]?.takeUnless { vm to it.caller in cutLinks || random.nextDouble() < callLoss }
        if (call == null) return
        peerCalls -= number
        repeat(if (random.nextDouble() < doubled) 2 else 1) { deliver(call.caller, event(call) ?: call.failure) }
    }

    private fun expirePeerCalls() {
        val due = peerCalls.filterValues { it.until <= now }
        peerCalls -= due.keys
        due.values.forEach { deliver(it.caller, it.failure) }
    }

    private fun send(sender: VmId, beacon: PeerBeacon, receiver: VmId) {
        if (random.nextDouble() < beaconLoss || sender to receiver in cutLinks) return
        deliver(receiver, RelayEvent.BeaconReceived(tamper(receiver, beacon)))
    }

    private fun writeStatus(vm: VmId, effect: RelayEffect.WriteRolloutStatus) {
        val accepted = vm !in refused && !store.isDown && store.endOf(Feed.STATUS) == effect.expectedEnd
        if (accepted) {
            onStatus(vm, effect.phase)
            write(Feed.STATUS, FeedEntry.RolloutStatus(effect.service, effect.version, effect.phase))
        }
        deliver(vm, RelayEvent.StatusWriteFinished(effect.service, effect.phase, accepted))
    }

    private companion object {
        const val DIGITS = 3
        const val LONGEST_DELAY = 12L
        const val LATEST_START = 300L
        const val MEMBERS_TIMEOUT = 2_500L
        const val CONNECT_TIMEOUT = 400L
        const val SUCCESS = 200
    }
}

package org.quetzalloom.core.relay

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.feed.FeedProblem
import org.quetzalloom.core.relay.peer.PeerBeacon
import org.quetzalloom.core.relay.rollout.RolloutPhase
import org.quetzalloom.core.time.Timestamp
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Drives the reducers of several relays in virtual time, with a simple store and network between them.
 *
 * @param routers the number of routers.
 * @param seed the seed of all delays and losses.
 * @param beaconLoss the share of beacons that are lost, from 0 to 1.
 * @param policies the decision rules of all routers.
 * @param respond the response to each attempt, from the backend server's id and the time since the start.
 */
class RelayFleet(
    routers: Int,
    seed: Long,
    private val beaconLoss: Double = 0.0,
    private val policies: RelayPolicies = RelayPolicies(),
    private val respond: (server: String, elapsed: Long) -> ResponseHead = { _, _ -> ResponseHead(status = 200) },
) {
    private class Pending(val at: Timestamp, val order: Long, val vm: VmId, val event: RelayEvent)

    private class Waiter(val vm: VmId, val effect: RelayEffect.ReadFeed, val until: Timestamp, val failure: String?)

    val vms: List<VmId> = (1..routers).map { VmId("vm-${it.toString().padStart(DIGITS, '0')}") }
    val states: MutableMap<VmId, RelayState> =
        vms.associateWith { initialState(it) }.toMutableMap()

    /** The routers whose calls the store refuses, and those that stand still. */
    val refused: MutableSet<VmId> = mutableSetOf()
    val paused: MutableSet<VmId> = mutableSetOf()

    /** The number of calls that the store has got, without joins. */
    var storeCalls: Int = 0
        private set

    /** Called for each beacon that is delivered; returns what the receiver gets instead. */
    var tamper: (receiver: VmId, beacon: PeerBeacon) -> PeerBeacon = { _, beacon -> beacon }

    /** Called when the store has accepted a status. */
    var onStatus: (writer: VmId, phase: RolloutPhase) -> Unit = { _, _ -> }

    /** Called for each attempt that a router sends, with the request that it belongs to. */
    var onSend: (request: RelayRequest, server: String) -> Unit = { _, _ -> }

    private val random = Random(seed)
    private val start = Timestamp(1_000_000)
    private var now = start

    /** The first tick of each router, so that they do not act in step. */
    private val firstTicks = vms.associateWith { start + random.nextLong(LATEST_START) }
    private val queue = PriorityQueue<Pending>(compareBy({ it.at }, { it.order }))
    private val logs = Feed.entries.associateWith { mutableListOf<FeedEntry>() }
    private val waiters = mutableListOf<Waiter>()
    private val lastJoins = sortedMapOf<VmId, Timestamp>()
    private var generation = 0L
    private var events = 0L
    private var requests = 0L

    val elapsed: Long get() = now - start

    /** The member of the group that the store names the leader. */
    val leader: VmId get() = lastJoins.firstKey()

    /** Appends [entries] to [feed], as operators and servers do. */
    fun write(feed: Feed, vararg entries: FeedEntry) {
        logs.getValue(feed).addAll(entries)
        val woken = waiters.filter { it.effect.feed == feed && it.failure == null }
        waiters.removeAll(woken)
        woken.forEach { answerRead(it.vm, it.effect) }
    }

    /** Delivers [request] to the router [vm]. */
    fun arrive(vm: VmId, request: RelayRequest): Unit =
        deliver(vm, RelayEvent.RequestArrived(ExchangeId(++requests), request.copy(callerId = "f-$requests")))

    /** Starts [vm] again, without what it knew. */
    fun restart(vm: VmId) {
        states[vm] = initialState(vm)
    }

    private fun initialState(vm: VmId) = RelayState.initial(RelayRig.settings(vm.value), policies)

    /** Lets [vm] stand still: reads that wait at it fail only by their timeouts. */
    fun pause(vm: VmId) {
        paused += vm
        val silent = waiters.filter { it.effect.reader?.substringBefore(':') == vm.value }
        waiters.removeAll(silent)
        waiters += silent.map { Waiter(it.vm, it.effect, it.until + CALL_TIMEOUT, "silent") }
    }

    /** Lets [milliseconds] pass; [load] runs after each tick. */
    fun pass(milliseconds: Long, load: () -> Unit = {}) {
        val end = now + milliseconds
        while (now < end) {
            now += RelayRig.TICK
            while (queue.peek()?.let { it.at <= now } == true) queue.poll().let { reduce(it.vm, it.event) }
            expireMembersAndWaiters()
            (vms - paused).filter { now >= firstTicks.getValue(it) }.forEach { reduce(it, RelayEvent.Tick) }
            load()
        }
    }

    private fun reduce(vm: VmId, event: RelayEvent) {
        if (vm in paused) return deliver(vm, event)
        val transition = RelayReducer.reduce(states.getValue(vm), event, now)
        states[vm] = transition.state
        transition.effects.forEach { carryOut(vm, it) }
    }

    private fun deliver(vm: VmId, event: RelayEvent) {
        queue.add(Pending(now + random.nextLong(1, LONGEST_DELAY), ++events, vm, event))
    }

    private fun carryOut(vm: VmId, effect: RelayEffect) {
        when (effect) {
            is RelayEffect.ReadFeed -> read(vm, effect)
            is RelayEffect.JoinGroup -> join(vm, effect)
            is RelayEffect.ListMembers -> {
                storeCalls++
                deliver(vm, RelayEvent.MembersListed(effect.generation, addresses()))
            }
            is RelayEffect.SendBeacon -> effect.addresses.forEach { send(effect.beacon, VmId(it.substringBefore(':'))) }
            is RelayEffect.WriteRolloutStatus -> writeStatus(vm, effect)
            is RelayEffect.Send -> send(vm, effect)
            is RelayEffect.ForwardResponse -> deliver(vm, RelayEvent.ResponseFinished(effect.exchange, effect.attempt))
            else -> Unit
        }
    }

    private fun send(vm: VmId, effect: RelayEffect.Send) {
        val server = effect.parameters.server.value
        states.getValue(vm).exchanges.byId[effect.exchange]?.let { onSend(it.request, server) }
        deliver(vm, RelayEvent.ResponseStarted(effect.exchange, effect.attempt, respond(server, elapsed)))
    }

    private fun addresses(): Map<VmId, String> = lastJoins.keys.associateWith { "$it:70" }

    private fun read(vm: VmId, effect: RelayEffect.ReadFeed) {
        val from = effect.from
        val caller = effect.reader?.let { VmId(it.substringBefore(':')) } ?: vm
        val sharesCall = waiters.any { it.effect == effect && effect.reader != null }
        if (!sharesCall && caller !in paused) storeCalls++
        when {
            caller in paused -> waiters += Waiter(vm, effect, now + effect.waitMilliseconds + CALL_TIMEOUT, "silent")
            caller in refused -> failRead(vm, effect, "refused")
            from == null || logs.getValue(effect.feed).size > from || effect.waitMilliseconds == 0L ->
                answerRead(vm, effect)
            else -> waiters += Waiter(vm, effect, now + effect.waitMilliseconds, failure = null)
        }
    }

    private fun failRead(vm: VmId, effect: RelayEffect.ReadFeed, detail: String): Unit =
        deliver(vm, RelayEvent.FeedFailed(effect.feed, FeedProblem.UNAVAILABLE, detail, effect.reader != null))

    private fun answerRead(vm: VmId, effect: RelayEffect.ReadFeed) {
        val log = logs.getValue(effect.feed)
        val entries = log.drop((effect.from ?: 0).toInt())
        val next = log.size.toLong()
        deliver(vm, RelayEvent.FeedRead(effect.feed, entries, next, effect.from == null, effect.reader != null))
    }

    private fun join(vm: VmId, effect: RelayEffect.JoinGroup) {
        if (vm in refused) return deliver(vm, RelayEvent.GroupFailed("refused"))
        if (lastJoins.put(vm, now) == null) generation++
        deliver(vm, RelayEvent.GroupJoined(generation, isLeader = vm == leader, sentAt = effect.sentAt))
    }

    private fun send(beacon: PeerBeacon, receiver: VmId) {
        if (random.nextDouble() < beaconLoss) return
        deliver(receiver, RelayEvent.BeaconReceived(tamper(receiver, beacon)))
    }

    private fun writeStatus(vm: VmId, effect: RelayEffect.WriteRolloutStatus) {
        val log = logs.getValue(Feed.STATUS)
        val accepted = vm !in refused && log.size.toLong() == effect.expectedEnd
        if (accepted) {
            onStatus(vm, effect.phase)
            write(Feed.STATUS, FeedEntry.RolloutStatus(effect.service, effect.version, effect.phase))
        }
        deliver(vm, RelayEvent.StatusWriteFinished(effect.service, effect.phase, accepted))
    }

    private fun expireMembersAndWaiters() {
        val gone = lastJoins.filterValues { now - it > MEMBER_TIME_TO_LIVE }.keys.toSet()
        if (gone.isNotEmpty()) generation++
        lastJoins.keys.removeAll(gone)
        val due = waiters.filter { it.until <= now }
        waiters.removeAll(due)
        due.forEach {
            if (it.failure == null) answerRead(it.vm, it.effect) else failRead(it.vm, it.effect, it.failure)
        }
    }

    private companion object {
        const val DIGITS = 3
        const val LONGEST_DELAY = 12L
        const val LATEST_START = 300L
        const val MEMBER_TIME_TO_LIVE = 3_000L
        const val CALL_TIMEOUT = 900L
    }
}

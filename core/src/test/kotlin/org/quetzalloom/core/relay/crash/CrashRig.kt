package org.quetzalloom.core.relay.crash

import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPolicies
import org.quetzalloom.core.relay.RelayRig
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.exchange.PromptPart
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.peer.PeerBeacon
import org.quetzalloom.core.relay.serverId
import kotlin.random.Random

/**
 * Drives several routers in virtual time, with beacons between them, and backend servers that crash.
 *
 * A server begins a response some time after it gets a request, writes its first event [FIRST_EVENT] later and ends it
 * after [STREAM]. One that begins to write on a part in [deadly] crashes instead, and is back after [DOWN].
 *
 * @param beaconLoss the share of beacons that are lost, from 0 to 1.
 */
class CrashRig(
    routers: Int,
    servers: Int,
    seed: Long,
    private val beaconLoss: Double = 0.0,
    private val policies: RelayPolicies = RelayPolicies(),
) {
    private class Running(
        val router: Int,
        val send: RelayEffect.Send,
        val request: RelayRequest,
        val beginsAt: Long,
        var begun: Boolean = false,
    )

    private val random = Random(seed)
    private val listings = (1..servers).map {
        RelayRig.server("e-$it", RelayRig.engines, RelayRig.zones[it % RelayRig.zones.size])
    }
    private val rigs =
        (1..routers).map { RelayRig("vm-$it", policies).start(listings, members = routers) }.toMutableList()
    private val running = mutableListOf<Running>()
    private val downUntil = mutableMapOf<BackendServerId, Long>()
    private val requests = mutableMapOf<Pair<Int, ExchangeId>, RelayRequest>()
    private val beacons = mutableListOf<Pair<Int, PeerBeacon>>()

    /** The content hashes under which servers crash. */
    val deadlyContent: MutableSet<Long> = mutableSetOf()

    /** The parts of prompts under which servers crash. */
    val deadly: MutableSet<String> = mutableSetOf()
    val sent: MutableList<SentAttempt> = mutableListOf()
    val ended: MutableList<EndedRequest> = mutableListOf()

    /** The times at which servers crashed under a request. */
    val crashes: MutableList<Long> = mutableListOf()

    /** The log lines of all routers. */
    val lines: MutableList<String> = mutableListOf()

    /** Called for each beacon; returns what its receivers get instead. */
    var tamper: (PeerBeacon) -> PeerBeacon = { it }
    var elapsed: Long = 0L
        private set

    /** Delivers a request with the shared [parts] of a prompt, and the content hash [content], to [router]. */
    fun arrive(router: Int, vararg parts: String, content: Long = requests.size.toLong()) {
        val prompt = parts.map { PromptPart(it, tokens = 700) } + PromptPart("own-${requests.size}", tokens = 50)
        val request = RelayRig.prompt.copy(
            callerId = "c-${requests.size}",
            routerChoosesModel = false,
            contentHash = content,
            prompt = prompt.toPersistentList(),
            promptTokens = prompt.sumOf { it.tokens },
        )
        val (id, effects) = rigs[router].arrive(request)
        requests[router to id] = request
        carryOut(router, effects)
    }

    /** Delivers a request with the [parts] to any router, if one is due in this tick at the rate of [perSecond]. */
    fun arriveAtRandom(perSecond: Double, parts: (Random) -> List<String>) {
        val due = random.nextDouble() * MILLISECONDS_PER_SECOND < perSecond * RelayRig.TICK
        if (due) arrive(random.nextInt(rigs.size), *parts(random).toTypedArray())
    }

    /** Lets [milliseconds] pass; [load] runs after each tick. */
    fun pass(milliseconds: Long, load: () -> Unit = {}) {
        repeat((milliseconds / RelayRig.TICK).toInt()) {
            elapsed += RelayRig.TICK
            rigs.indices.forEach { carryOut(it, rigs[it].pass(RelayRig.TICK)) }
            returnServers()
            serve()
            beacons.toList().also { beacons.clear() }.forEach { (receiver, beacon) ->
                carryOut(receiver, rigs[receiver].on(RelayEvent.BeaconReceived(beacon)))
            }
            load()
        }
    }

    /** Ends [server], and with it all connections to it, for [DOWN]. */
    fun crash(server: BackendServerId) {
        downUntil[server] = elapsed + DOWN
        val lost = running.filter { it.send.serverId == server }
        running.removeAll(lost)
        lost.forEach { fail(it.router, it.send, AttemptFailure.CONNECTION_LOST, it.lastEventId) }
    }

    /** Ends the servers with the numbers [numbers], from 0. */
    fun crashServers(vararg numbers: Int): Unit = numbers.forEach { crash(listings[it].id) }

    /** Replaces [router] by one that has just started. */
    fun restart(router: Int) {
        running.removeAll { it.router == router }
        rigs[router] = RelayRig("vm-${router + 1}", policies).start(listings, members = rigs.size)
        rigs[router].pass(elapsed)
    }

    private fun returnServers() {
        val back = downUntil.filterValues { it <= elapsed }.keys.toSet()
        downUntil.keys.removeAll(back)
        back.forEach { id ->
            val listing = listings.first { it.id == id }.copy(startedAt = elapsed)
            rigs.indices.forEach { carryOut(it, rigs[it].read(Feed.SERVERS, FeedEntry.Server(listing))) }
        }
    }

    private val Running.isDeadly: Boolean
        get() = request.contentHash in deadlyContent || request.prompt.any { it.id in deadly }

    private val Running.lastEventId: String? get() = "7".takeIf { elapsed >= beginsAt + FIRST_EVENT && !isDeadly }

    private fun serve() {
        running.filter { it.beginsAt <= elapsed && !it.begun }.forEach { attempt ->
            attempt.begun = true
            carryOut(attempt.router, rigs[attempt.router].respond(attempt.send, ResponseHead(200)))
        }
        running.filter { it.beginsAt + FIRST_EVENT <= elapsed && it.isDeadly }.forEach {
            if (it in running) {
                crashes += elapsed
                crash(it.send.serverId)
            }
        }
        running.filter { it.beginsAt + STREAM <= elapsed }.forEach {
            if (running.remove(it)) {
                ended += EndedRequest(elapsed, it.request, answered = true)
                carryOut(it.router, rigs[it.router].on(RelayEvent.ResponseFinished(it.send.exchange, it.send.attempt)))
            }
        }
    }

    private fun fail(router: Int, send: RelayEffect.Send, failure: AttemptFailure, lastEventId: String? = null) =
        carryOut(router, rigs[router].failAttempt(send, failure, lastEventId))

    private fun carryOut(router: Int, effects: List<RelayEffect>): Unit = effects.forEach { effect ->
        when (effect) {
            is RelayEffect.Send -> send(router, effect)
            is RelayEffect.CancelAttempt ->
                running.removeAll { it.router == router && it.send.exchange == effect.exchange }
            is RelayEffect.Refuse -> end(router, effect.exchange, effect)
            is RelayEffect.AbortResponse -> end(router, effect.exchange, refusal = null)
            is RelayEffect.SendBeacon -> effect.addresses.forEach { sendBeacon(it, effect.beacon) }
            is RelayEffect.Report -> lines += "$elapsed vm-${router + 1} ${effect.entry.name} ${effect.entry.fields}"
            else -> Unit
        }
    }

    private fun sendBeacon(address: String, beacon: PeerBeacon) {
        val receiver = address.substringAfterLast('.').substringBefore(':').toInt() - 1
        if (random.nextDouble() >= beaconLoss) beacons += receiver to tamper(beacon)
    }

    private fun end(router: Int, id: ExchangeId, refusal: RelayEffect.Refuse?) {
        ended += EndedRequest(elapsed, requests.getValue(router to id), answered = false, refusal = refusal)
    }

    private fun send(router: Int, send: RelayEffect.Send) {
        val server = send.serverId
        if (elapsed < (downUntil[server] ?: 0)) return fail(router, send, AttemptFailure.NOT_CONNECTED)
        val request = requests.getValue(router to send.exchange)
        sent += SentAttempt(elapsed, server, request)
        running += Running(router, send, request, beginsAt = elapsed + random.nextLong(SHORTEST_START, LONGEST_START))
    }

    companion object {
        const val FIRST_EVENT = 40L
        const val STREAM = 1_500L
        const val DOWN = 3_300L
        private const val MILLISECONDS_PER_SECOND = 1_000
        private const val SHORTEST_START = 40L
        private const val LONGEST_START = 400L
    }
}

package org.quetzalloom.core.relay

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.rig.seeds
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Requests that had been admitted got neither an answer nor a refusal beside a change of the configuration. */
class RequestsBesideChangesTest {
    private val withoutAnything = RelayRig.table.copy(
        version = 8,
        routes = persistentListOf(),
        services = persistentMapOf(),
        workspacesByKey = persistentMapOf(),
    )

    private fun RelayRig.dropEverything(): List<RelayEffect> =
        read(Feed.ORDERS, FeedEntry.Configuration(withoutAnything)) + read(Feed.SERVERS, snapshot = true)

    @Test
    fun `a request that waits for a server is refused as not run when its route, key and service are dropped`() {
        val rig = RelayRig().start(servers = emptyList())
        rig.arrive(RelayRig.read)
        val effects = rig.dropEverything() + rig.pass(300)
        assertEquals(ErrorKind.NO_CAPACITY, effects.only<RelayEffect.Refuse>().kind)
    }

    @Test
    fun `a request in progress is answered after its route, key and service were dropped`() {
        val rig = RelayRig().start()
        val send = rig.arrive(RelayRig.command).second.only<RelayEffect.Send>()
        assertTrue(rig.dropEverything().none<RelayEffect.CancelAttempt>())
        assertEquals(send.exchange, rig.respond(send, ResponseHead(200)).only<RelayEffect.ForwardResponse>().exchange)
    }

    @Test
    fun `a second attempt is made, or refused, after the route, key and service were dropped`() {
        val rig = RelayRig().start()
        val (first, second) = List(2) { rig.arrive(RelayRig.read).second.only<RelayEffect.Send>() }
        rig.read(Feed.ORDERS, FeedEntry.Configuration(withoutAnything))
        rig.failAttempt(first, AttemptFailure.CONNECTION_LOST).only<RelayEffect.Send>()
        rig.read(Feed.SERVERS, snapshot = true)
        val effects = rig.failAttempt(second, AttemptFailure.CONNECTION_LOST) + rig.pass(300)
        assertEquals(ErrorKind.BACKEND_FAILED, effects.only<RelayEffect.Refuse>().kind)
    }

    @Test
    fun `a stream goes on at another server after its route was dropped`() {
        val rig = RelayRig().start(RelayRig.engineServers)
        val send = rig.arrive(RelayRig.prompt).second.only<RelayEffect.Send>()
        rig.respond(send, ResponseHead(200, confidence = 90))
        rig.read(Feed.ORDERS, FeedEntry.Configuration(withoutAnything))
        val resumed = rig.failAttempt(send, AttemptFailure.CONNECTION_LOST, lastEventId = "4")
        assertEquals("4", resumed.only<RelayEffect.Send>().parameters.lastEventId)
    }

    @Test
    fun `a request ends by the timeout that its route had on its arrival`() {
        val rig = RelayRig().start()
        rig.arrive(RelayRig.command.copy(timeLeftMilliseconds = null))
        val routes = RelayRig.table.routes.map { it.copy(timeoutMilliseconds = 9_000) }.toPersistentList()
        rig.read(Feed.ORDERS, FeedEntry.Configuration(RelayRig.table.copy(version = 8, routes = routes)))
        assertEquals(ErrorKind.DEADLINE_EXCEEDED, rig.pass(1_040).only<RelayEffect.Refuse>().kind)
    }

    @Test
    fun `every admitted request ends exactly once, whatever changes beside it`() {
        val count = System.getProperty("seeds")?.toInt() ?: SEEDS
        seeds(count).forEach { seed -> assertEquals(emptyMap(), Disruptions(seed).wrongEndings(), "seed $seed") }
    }

    /** Random requests, configurations, lists of servers and failures. */
    private class Disruptions(seed: Long) {
        private val random = Random(seed)
        private val rig = RelayRig().start(RelayRig.plainServers + RelayRig.engineServers)
        private val endings = HashMap<ExchangeId, Int>()
        private val inFlight = HashMap<ExchangeId, RelayEffect.Send>()
        private val forwarding = HashSet<ExchangeId>()
        private var version = RelayRig.table.version

        /** Returns the number of endings of each request that has not ended exactly once. */
        fun wrongEndings(): Map<ExchangeId, Int> {
            repeat(STEPS) {
                step()
                carryOut(rig.pass(random.nextLong(MAXIMUM_PAUSE_MILLISECONDS)))
            }
            carryOut(rig.pass(LONGEST_REQUEST_MILLISECONDS))
            assertTrue(endings.size >= STEPS / 4, "only ${endings.size} requests")
            assertEquals(0, rig.state.activeExchanges)
            return endings.filterValues { it != 1 }
        }

        private fun step() = when (random.nextInt(8)) {
            0, 1, 2 -> arrive()
            3 -> carryOut(rig.read(Feed.ORDERS, FeedEntry.Configuration(nextTable())))
            4 -> carryOut(rig.read(Feed.SERVERS, *listedServers(), snapshot = true))
            5 -> anyInFlight { fail(it) }
            6 -> anyInFlight { rig.on(RelayEvent.AttemptStalled(it.exchange, it.attempt, lastEventIdOrNull(it))) }
            else -> anyInFlight { if (it.exchange in forwarding) finish(it) else respond(it) }
        }

        private fun lastEventIdOrNull(send: RelayEffect.Send) = "1".takeIf { send.exchange in forwarding }

        private fun nextTable() = RelayRig.table.copy(
            version = ++version,
            routes = RelayRig.table.routes.filter { random.nextBoolean() }
                .map { it.copy(timeoutMilliseconds = random.nextLong(20, LONGEST_REQUEST_MILLISECONDS)) }
                .toPersistentList(),
            services = RelayRig.table.services.takeIf { random.nextBoolean() } ?: persistentMapOf(),
            workspacesByKey = RelayRig.table.workspacesByKey.takeIf { random.nextBoolean() },
        )

        private fun listedServers() = (RelayRig.plainServers + RelayRig.engineServers).filter { random.nextBoolean() }
            .map { FeedEntry.Server(it) }.toTypedArray()

        private fun arrive() {
            val (id, effects) = rig.arrive(listOf(RelayRig.command, RelayRig.read, RelayRig.prompt).random(random))
            endings[id] = 0
            carryOut(effects)
        }

        private fun anyInFlight(action: (RelayEffect.Send) -> List<RelayEffect>) {
            if (inFlight.isEmpty()) return
            val id = inFlight.keys.sortedBy { it.toString() }.random(random)
            carryOut(action(inFlight.getValue(id)))
        }

        private fun respond(send: RelayEffect.Send): List<RelayEffect> {
            val status = listOf(200, 200, 200, 404, 500, 503, 504).random(random)
            return rig.respond(send, ResponseHead(status, confidence = random.nextInt(100)))
        }

        private fun fail(send: RelayEffect.Send): List<RelayEffect> {
            inFlight.remove(send.exchange)
            return rig.failAttempt(send, AttemptFailure.entries.random(random), lastEventIdOrNull(send))
        }

        private fun finish(send: RelayEffect.Send): List<RelayEffect> {
            end(send.exchange)
            return rig.on(RelayEvent.ResponseFinished(send.exchange, send.attempt))
        }

        private fun carryOut(effects: List<RelayEffect>) = effects.forEach { effect ->
            when (effect) {
                is RelayEffect.Send -> {
                    inFlight[effect.exchange] = effect
                    forwarding.remove(effect.exchange)
                }
                is RelayEffect.CancelAttempt -> inFlight.remove(effect.exchange)
                is RelayEffect.ForwardResponse -> forwarding.add(effect.exchange)
                is RelayEffect.Refuse -> end(effect.exchange)
                is RelayEffect.AbortResponse -> end(effect.exchange)
                else -> Unit
            }
        }

        private fun end(id: ExchangeId) {
            endings.merge(id, 1, Int::plus)
            inFlight.remove(id)
        }
    }

    private companion object {
        const val SEEDS = 20
        const val STEPS = 400
        const val MAXIMUM_PAUSE_MILLISECONDS = 60L
        const val LONGEST_REQUEST_MILLISECONDS = 20_100L
    }
}

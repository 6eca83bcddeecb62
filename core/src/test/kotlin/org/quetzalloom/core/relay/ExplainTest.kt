package org.quetzalloom.core.relay

import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.explain.Exclusion
import org.quetzalloom.core.relay.explain.Explanation
import org.quetzalloom.core.relay.explain.Verdict
import org.quetzalloom.core.relay.explain.explain
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.rollout.RolloutOrder
import org.quetzalloom.core.relay.rollout.RolloutPhase
import org.quetzalloom.core.relay.server.LoadReport
import org.quetzalloom.core.relay.server.ServerListing
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** What a router says of a request is what then happens to it. */
class ExplainTest {
    private val allServers = RelayRig.plainServers + RelayRig.engineServers +
        listOf("s-7", "s-8").map { RelayRig.server(it, RelayRig.plain, RelayRig.zones[1], "v2") } +
        listOf("e-7", "e-8").map { RelayRig.server(it, RelayRig.engines, RelayRig.zones[2], "v2") }

    /** A rig in a state that [random] has drawn. */
    private class Drawn(private val random: Random, private val servers: List<ServerListing>) {
        val rig = RelayRig()
        private var sent = emptyList<RelayEffect.Send>()
        private var requests = 0

        init {
            if (random.nextInt(50) > 0) {
                rig.start(servers.filter { random.nextInt(4) > 0 }, members = random.nextInt(1, 60))
            }
            repeat(random.nextInt(60)) { step() }
        }

        fun request(): RelayRequest {
            val shape = listOf(RelayRig.command, RelayRig.read, RelayRig.prompt).random(random)
            return shape.copy(
                callerId = "x-${++requests}",
                key = if (random.nextInt(20) == 0) "unknown" else shape.key,
                path = if (random.nextInt(20) == 0) "/nowhere" else shape.path,
                promptTokens = if (shape.routerChoosesModel) random.nextInt(4_000) else 0,
                session = if (random.nextBoolean()) "s-${random.nextInt(40)}" else null,
            )
        }

        private fun step() {
            val server = servers.random(random)
            when (random.nextInt(12)) {
                in 0..5 -> sent = sent + rig.arrive(request()).second.filterIsInstance<RelayEffect.Send>()
                6 -> rig.pass(random.nextLong(20, 900))
                7 -> {
                    val listing = server.copy(draining = random.nextBoolean(), sequence = 9)
                    rig.read(Feed.SERVERS, FeedEntry.Server(listing))
                }
                8 -> rig.read(Feed.ORDERS, FeedEntry.Evacuation(RelayRig.zones.random(random), random.nextBoolean()))
                9 -> rig.read(Feed.ORDERS, FeedEntry.Rollout(RolloutOrder(server.service, "v2", 24_000)))
                10 -> rig.read(
                    Feed.STATUS,
                    FeedEntry.RolloutStatus(server.service, "v2", RolloutPhase.entries.random(random)),
                )
                else -> end()
            }
        }

        private fun end() {
            val send = sent.randomOrNull(random) ?: return
            sent = sent - send
            when (random.nextInt(3)) {
                0 -> rig.failAttempt(send, AttemptFailure.entries.random(random))
                1 -> rig.respond(send, ResponseHead(status = 503, notRun = true))
                else -> rig.respond(send, ResponseHead(status = 200, load = LoadReport(60, random.nextInt(9), 64)))
            }
        }
    }

    private fun explainThenSend(seed: Long): Pair<Explanation, Verdict?> {
        val drawn = Drawn(Random(seed), allServers)
        val request = drawn.request()
        val before = drawn.rig.state
        val explanation = before.explain(request, drawn.rig.now)
        assertEquals(before, drawn.rig.state, "seed $seed")
        val (id, effects) = drawn.rig.arrive(request)
        val send = effects.filterIsInstance<RelayEffect.Send>().singleOrNull { it.exchange == id }
        val refusal = effects.filterIsInstance<RelayEffect.Refuse>().singleOrNull { it.exchange == id }
        val happened = when {
            send != null -> Verdict.Sent(
                server = send.serverId,
                version = allServers.single { it.id == send.serverId }.version,
                model = send.parameters.model,
            )
            refusal != null -> Verdict.Refused(refusal.kind, refusal.detail, refusal.retryAfterMilliseconds)
            else -> null
        }
        return explanation to happened
    }

    @Test
    fun `the verdict is what happens to the request, in a thousand drawn states`() {
        val verdicts = (1L..1_000L).map { seed ->
            val (explanation, happened) = explainThenSend(seed)
            val verdict = explanation.verdict
            assertEquals(verdict.takeUnless { it is Verdict.Waits }, happened, "seed $seed")
            explanation
        }
        assertEquals(3, verdicts.map { it.verdict::class }.toSet().size)
        val left = verdicts.flatMap { it.exclusionCounts.keys }.toSet()
        val expected = setOf(
            Exclusion.DRAINING,
            Exclusion.SUSPENDED,
            Exclusion.EVACUATED,
            Exclusion.OTHER_VERSION,
            Exclusion.NO_CONNECTION,
        )
        assertTrue(left.containsAll(expected), "$left")
    }

    @Test
    fun `a request goes to the candidate of the first rank, and waits only if no server is a candidate`() {
        for (seed in 1L..1_000L) {
            val explanation = explainThenSend(seed).first
            val candidates = explanation.servers.filter { it.exclusions.isEmpty() }
            when (val verdict = explanation.verdict) {
                is Verdict.Sent -> {
                    assertEquals(verdict.server, candidates.single { it.rank == 1 }.server, "seed $seed")
                    assertEquals(candidates.size.coerceAtMost(8), candidates.count { it.rank != null }, "seed $seed")
                }
                is Verdict.Waits -> assertEquals(emptyList(), candidates, "seed $seed")
                is Verdict.Refused -> assertEquals(0, explanation.serverCount, "seed $seed")
            }
        }
    }

    @Test
    fun `a router that does not know the members yet has no connection left for a second request`() {
        val rig = RelayRig()
        rig.read(Feed.ORDERS, FeedEntry.Configuration(RelayRig.table), snapshot = true)
        rig.read(Feed.SERVERS, *RelayRig.plainServers.map { FeedEntry.Server(it) }.toTypedArray(), snapshot = true)
        repeat(3) { rig.arrive(RelayRig.read.copy(callerId = "m-$it")) }
        val explanation = rig.state.explain(RelayRig.read, rig.now)
        assertTrue(explanation.verdict is Verdict.Waits)
        assertEquals(mapOf(Exclusion.NO_CONNECTION to 3), explanation.exclusionCounts)
        assertEquals(0, explanation.beliefs.members)
    }

    @Test
    fun `a request that waits is refused with the time that is said`() {
        val rig = RelayRig().start(emptyList())
        val verdict = rig.state.explain(RelayRig.read, rig.now).verdict as Verdict.Waits
        rig.arrive(RelayRig.read)
        val refusal = rig.pass(verdict.milliseconds + RelayRig.TICK).only<RelayEffect.Refuse>()
        assertEquals(Verdict.Refused(refusal.kind, refusal.detail, refusal.retryAfterMilliseconds), verdict.refusal)
    }
}

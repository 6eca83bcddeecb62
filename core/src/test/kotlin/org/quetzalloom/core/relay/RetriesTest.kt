package org.quetzalloom.core.relay

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.exchange.RetryBudget
import org.quetzalloom.core.time.Timestamp
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** Which requests are retried, how many retries there may be, and how streams are resumed. */
class RetriesTest {
    @Test
    fun `a read is retried at another server, but at no more servers than its route allows`() {
        val rig = RelayRig().start()
        val first = rig.arrive(RelayRig.read).second.only<RelayEffect.Send>()
        val second = rig.failAttempt(first, AttemptFailure.CONNECTION_LOST).only<RelayEffect.Send>()
        assertNotEquals(first.serverId, second.serverId)
        val effects = rig.failAttempt(second, AttemptFailure.CONNECTION_LOST)
        assertTrue(effects.none<RelayEffect.Send>())
        assertEquals(ErrorKind.BACKEND_FAILED, effects.only<RelayEffect.Refuse>().kind)
    }

    @Test
    fun `a broken stream is resumed after the last event that the caller has`() {
        val rig = RelayRig().start(RelayRig.engineServers)
        val first = rig.arrive(RelayRig.prompt).second.only<RelayEffect.Send>()
        val effects = rig.respond(first, ResponseHead(200, confidence = 90))
        assertEquals(1, effects.filterIsInstance<RelayEffect.ForwardResponse>().size)
        val second = rig.failAttempt(first, AttemptFailure.CONNECTION_LOST, lastEventId = "12").only<RelayEffect.Send>()
        assertEquals("12", second.parameters.lastEventId)
        assertEquals(second.attempt, rig.respond(second, ResponseHead(200)).only<RelayEffect.ForwardResponse>().attempt)
    }

    @Test
    fun `a broken stream is not resumed with a response that is not signed`() {
        val rig = RelayRig().start(RelayRig.engineServers)
        val first = rig.arrive(RelayRig.prompt).second.only<RelayEffect.Send>()
        rig.respond(first, ResponseHead(200, confidence = 90))
        val second = rig.failAttempt(first, AttemptFailure.CONNECTION_LOST).only<RelayEffect.Send>()
        val effects = rig.respond(second, ResponseHead(200, signed = false))
        assertTrue(effects.none<RelayEffect.ForwardResponse>())
        assertEquals(second.attempt, effects.only<RelayEffect.CancelAttempt>().attempt)
        assertEquals(1, effects.filterIsInstance<RelayEffect.Send>().size)
    }

    @Test
    fun `a stream that cannot be resumed is cut off`() {
        val rig = RelayRig().start(RelayRig.engineServers.take(1))
        val first = rig.arrive(RelayRig.prompt).second.only<RelayEffect.Send>()
        rig.respond(first, ResponseHead(200, confidence = 90))
        val effects = rig.failAttempt(first, AttemptFailure.CONNECTION_LOST, lastEventId = "12") + rig.pass(20_100)
        assertEquals(1, effects.filterIsInstance<RelayEffect.AbortResponse>().size)
        assertTrue(effects.none<RelayEffect.Refuse>())
    }

    @Test
    fun `a response of low confidence is dropped and the largest model is asked, once`() {
        val rig = RelayRig().start(RelayRig.engineServers)
        val first = rig.arrive(RelayRig.prompt).second.only<RelayEffect.Send>()
        assertEquals("small", first.parameters.model)
        val effects = rig.respond(first, ResponseHead(200, confidence = 20))
        assertEquals(first.attempt, effects.only<RelayEffect.CancelAttempt>().attempt)
        val second = effects.only<RelayEffect.Send>()
        assertEquals("large", second.parameters.model)
        assertTrue(rig.respond(second, ResponseHead(200, confidence = 20)).none<RelayEffect.Send>())
    }

    @Test
    fun `second responses leave a part of the retry budget to requests that have none`() {
        val settings = RelayRig.settings("vm-1").copy(retrySlack = 0.0)
        val now = Timestamp(5_000)
        val requests = (1..100).fold(RetryBudget()) { budget, _ -> budget.countRequest(now) }
        val used = (1..78).fold(requests) { budget, _ -> budget.countRetry(now) }
        assertTrue(used.mayRetry(settings, routerCount = 1, now))
        assertFalse(used.mayRetry(settings, routerCount = 1, now, reservedShare = 0.05))
    }

    /** Operators bound the retries of all routers in any window: the ratio of the requests, plus the slack. */
    @Property(tries = 200)
    fun `retries of all routers stay within the bound in every window`(
        @ForAll @IntRange(min = 1, max = 60) routers: Int,
        @ForAll seed: Long,
    ) {
        val settings = RelayRig.settings("vm-1")
        val random = Random(seed)
        val requests = mutableListOf<Long>()
        val retries = mutableListOf<Long>()
        repeat(routers) {
            var budget = RetryBudget()
            var at = random.nextLong(0, 1_000)
            val gap = random.nextLong(5, 400)
            while (at < 40_000) {
                val now = Timestamp(at)
                budget = budget.countRequest(now).also { requests += at }
                repeat(3) {
                    if (budget.mayRetry(settings, routers, now)) {
                        budget = budget.countRetry(now)
                        retries += at
                    }
                }
                at += random.nextLong(1, 2 * gap)
            }
        }
        for (start in 0L..30_000L step 250) {
            val window = start until start + settings.retryWindowMilliseconds
            val bound = settings.retryRatio * requests.count { it in window } + settings.retrySlack
            assertTrue(retries.count { it in window } <= bound, "window from $start")
        }
    }
}

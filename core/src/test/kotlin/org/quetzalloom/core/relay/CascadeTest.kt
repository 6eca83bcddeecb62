package org.quetzalloom.core.relay

import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.relay.exchange.AnswerHead
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.model.ConfidenceCascade
import org.quetzalloom.core.relay.model.ModelAnswer
import org.quetzalloom.core.relay.model.ModelChoice
import org.quetzalloom.core.relay.model.ModelOutlook
import org.quetzalloom.core.relay.routing.Route
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Doubtful answers are asked of a larger model while that can answer in time. */
class CascadeTest {
    private val prompt = RelayRig.prompt.copy(promptTokens = 10_000)
    private val doubtful = AnswerHead(200, confidence = 20)

    /** Asks always, as if nobody else needed the servers. */
    private object Impatient : ModelChoice by ConfidenceCascade(patience = 1_000.0)

    /** Lets the rig learn that 10,000 tokens take [milliseconds] to read with the smallest model. */
    private fun RelayRig.learnPace(milliseconds: Long): RelayRig {
        repeat(100) {
            val (_, effects) = arrive(prompt.copy(callerId = "learn-$it"))
            val send = effects.only<RelayEffect.Send>()
            pass(milliseconds)
            answer(send, AnswerHead(200, confidence = 90))
            on(RelayEvent.AnswerFinished(send.exchange, send.attempt))
        }
        return this
    }

    private fun RelayRig.askDoubtful(): List<RelayEffect> {
        val first = arrive(prompt).second.only<RelayEffect.Send>()
        return answer(first, doubtful)
    }

    @Test
    fun `a doubtful answer is dropped while the largest model can answer in time`() {
        val effects = RelayRig().start(RelayRig.engineServers).learnPace(milliseconds = 100).askDoubtful()
        assertEquals("large", effects.only<RelayEffect.Send>().order.model)
    }

    @Test
    fun `a doubtful answer is kept when the largest model would be late`() {
        val effects = RelayRig().start(RelayRig.engineServers).learnPace(milliseconds = 400).askDoubtful()
        assertTrue(effects.none<RelayEffect.Send>())
        assertEquals(1, effects.filterIsInstance<RelayEffect.ForwardAnswer>().size)
    }

    @Test
    fun `without patience a late answer would be asked for`() {
        val rig = RelayRig(policies = RelayPolicies(modelChoice = Impatient)).start(RelayRig.engineServers)
        assertEquals("large", rig.learnPace(milliseconds = 400).askDoubtful().only<RelayEffect.Send>().order.model)
    }

    @Test
    fun `the verdict is in the log line of the end`() {
        val rig = RelayRig().start(RelayRig.engineServers).learnPace(milliseconds = 400)
        val first = rig.arrive(prompt).second.only<RelayEffect.Send>()
        rig.answer(first, doubtful)
        val end = rig.on(RelayEvent.AnswerFinished(first.exchange, first.attempt)).only<RelayEffect.Report>().entry
        assertEquals("20", end.fields["confidence"])
        assertTrue(end.fields.getValue("largest_after_ms").toLong() > 3_000)
    }

    @Test
    fun `an answer is never dropped when no server could take the request again`() {
        val rig = RelayRig().start(RelayRig.engineServers.take(1)).learnPace(milliseconds = 20)
        val first = rig.arrive(prompt).second.only<RelayEffect.Send>()
        rig.read(Feed.SERVERS, FeedEntry.ServerRemoved(first.order.server))
        assertTrue(rig.answer(first, doubtful).none<RelayEffect.CancelAttempt>())
    }

    @Test
    fun `what is in time depends on the route's target`() {
        val route = RelayRig.table.routes.last()
        val outlook = ModelOutlook(elapsedMilliseconds = 100, waitsMilliseconds = persistentListOf(10, 30, 900))
        val cascade = ConfidenceCascade()
        assertEquals(2, cascade.after(route.copy(targetMilliseconds = 1_000), outlook))
        assertEquals(null, cascade.after(route.copy(targetMilliseconds = 999), outlook))
    }

    @Test
    fun `where all servers are busy a doubtful answer is kept, though the largest model would be in time`() {
        val route = RelayRig.table.routes.last().copy(targetMilliseconds = 2_000)
        val outlook = ModelOutlook(waitsMilliseconds = persistentListOf(10, 30, 900))
        val cascade = ConfidenceCascade()
        assertEquals(2, cascade.after(route, outlook.copy(queueMilliseconds = 100)))
        assertEquals(null, cascade.after(route, outlook.copy(queueMilliseconds = 101)))
        assertEquals(2, cascade.copy(queueShare = 1.0).after(route, outlook.copy(queueMilliseconds = 101)))
    }

    @Test
    fun `a second answer is asked for sooner where the prompt is short against the answer`() {
        val route = RelayRig.table.routes.last()
        val short = RelayRig.prompt.copy(promptTokens = 800, outputTokens = 300)
        val long = RelayRig.prompt.copy(promptTokens = 12_000, outputTokens = 100)
        val answer = ModelAnswer(model = 0, confidence = 55)
        assertEquals(2, ConfidenceCascade().nextOrNull(route, short, answer, ModelOutlook()))
        assertEquals(null, ConfidenceCascade().nextOrNull(route, long, answer, ModelOutlook()))
    }

    private fun ModelChoice.after(route: Route, outlook: ModelOutlook): Int? =
        nextOrNull(route, RelayRig.prompt, ModelAnswer(model = 0, confidence = 20), outlook)
}

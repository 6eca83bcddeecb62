package org.quetzalloom.core.relay

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.model.ConfidenceCascade
import org.quetzalloom.core.relay.model.ConfidenceGains
import org.quetzalloom.core.relay.model.ModelChoice
import org.quetzalloom.core.relay.model.ModelLatencyEstimate
import org.quetzalloom.core.relay.model.ModelOutlook
import org.quetzalloom.core.relay.model.ModelPair
import org.quetzalloom.core.relay.model.ModelResponse
import org.quetzalloom.core.relay.routing.Route
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** After a response of low confidence, the largest model is asked if it can answer in time and servers are not busy. */
class CascadeTest {
    private val prompt = RelayRig.prompt.copy(promptTokens = 10_000)
    private val lowConfidence = ResponseHead(200, confidence = 20)

    /** Asks the largest model even if its response would be late. */
    private object WithoutTimeLimit : ModelChoice by ConfidenceCascade(maximumStartTargets = 1_000.0)

    /** Serves prompts so that the service's pace is 10,000 tokens in [milliseconds] with the smallest model. */
    private fun RelayRig.recordPace(milliseconds: Long): RelayRig {
        repeat(100) {
            val (_, effects) = arrive(prompt.copy(callerId = "learn-$it"))
            val send = effects.only<RelayEffect.Send>()
            pass(milliseconds)
            respond(send, ResponseHead(200, confidence = 90))
            on(RelayEvent.ResponseFinished(send.exchange, send.attempt))
        }
        return this
    }

    private fun RelayRig.respondWithLowConfidence(): List<RelayEffect> {
        val first = arrive(prompt).second.only<RelayEffect.Send>()
        return respond(first, lowConfidence)
    }

    @Test
    fun `a response of low confidence is dropped if the largest model can respond in time`() {
        val effects = RelayRig().start(RelayRig.engineServers).recordPace(milliseconds = 100).respondWithLowConfidence()
        assertEquals("large", effects.only<RelayEffect.Send>().parameters.model)
    }

    @Test
    fun `a response of low confidence is kept if the largest model would be late`() {
        val effects = RelayRig().start(RelayRig.engineServers).recordPace(milliseconds = 400).respondWithLowConfidence()
        assertTrue(effects.none<RelayEffect.Send>())
        assertEquals(1, effects.filterIsInstance<RelayEffect.ForwardResponse>().size)
    }

    @Test
    fun `without the time limit the largest model is asked even if it would be late`() {
        val rig = RelayRig(policies = RelayPolicies(modelChoice = WithoutTimeLimit)).start(RelayRig.engineServers)
        val effects = rig.recordPace(milliseconds = 400).respondWithLowConfidence()
        assertEquals("large", effects.only<RelayEffect.Send>().parameters.model)
    }

    @Test
    fun `the log line of the end of a request shows what the escalation decision was based on`() {
        val rig = RelayRig().start(RelayRig.engineServers).recordPace(milliseconds = 400)
        val first = rig.arrive(prompt).second.only<RelayEffect.Send>()
        rig.respond(first, lowConfidence)
        val end = rig.on(RelayEvent.ResponseFinished(first.exchange, first.attempt)).only<RelayEffect.Report>().entry
        assertEquals("20", end.fields["confidence"])
        assertTrue(end.fields.getValue("largest_after_ms").toLong() > 3_000)
    }

    @Test
    fun `a response is never dropped when no server could take the request again`() {
        val rig = RelayRig().start(RelayRig.engineServers.take(1)).recordPace(milliseconds = 20)
        val first = rig.arrive(prompt).second.only<RelayEffect.Send>()
        rig.read(Feed.SERVERS, FeedEntry.ServerRemoved(first.serverId))
        assertTrue(rig.respond(first, lowConfidence).none<RelayEffect.CancelAttempt>())
    }

    @Test
    fun `whether a response would be in time depends on the target of the route`() {
        val route = RelayRig.table.routes.last()
        val latencies = ModelLatencyEstimate(
            elapsedMilliseconds = 100,
            waitsMilliseconds = persistentListOf(10, 30, 900),
        )
        val cascade = ConfidenceCascade()
        assertEquals(2, cascade.after(route.copy(targetMilliseconds = 1_000), latencies))
        assertEquals(null, cascade.after(route.copy(targetMilliseconds = 999), latencies))
    }

    @Test
    fun `while all servers are busy a response of low confidence is kept, though the largest model would be in time`() {
        val route = RelayRig.table.routes.last().copy(targetMilliseconds = 2_000)
        val latencies = ModelLatencyEstimate(waitsMilliseconds = persistentListOf(10, 30, 900))
        val cascade = ConfidenceCascade()
        assertEquals(2, cascade.after(route, latencies.copy(queueMilliseconds = 100)))
        assertEquals(null, cascade.after(route, latencies.copy(queueMilliseconds = 101)))
        assertEquals(2, cascade.copy(maximumQueueShare = 1.0).after(route, latencies.copy(queueMilliseconds = 101)))
    }

    @Test
    fun `the confidence threshold is higher where the prompt is short compared with the response`() {
        val route = RelayRig.table.routes.last()
        val short = RelayRig.prompt.copy(promptTokens = 800, outputTokens = 300)
        val long = RelayRig.prompt.copy(promptTokens = 12_000, outputTokens = 100)
        val response = ModelResponse(modelIndex = 0, confidence = 55)
        assertEquals(2, ConfidenceCascade().nextOrNull(route, short, response, withoutGains))
        assertEquals(null, ConfidenceCascade().nextOrNull(route, long, response, withoutGains))
    }

    @Test
    fun `the middle model is asked if it is expected to be confident enough`() {
        val route = RelayRig.table.routes.last()
        val gains = ConfidenceGains(persistentMapOf(ModelPair("small", "middle") to 16.0))
        fun nextAfter(confidence: Int, gains: ConfidenceGains): Int? = ConfidenceCascade().nextOrNull(
            route,
            RelayRig.prompt,
            ModelResponse(modelIndex = 0, confidence),
            ModelOutlook(confidenceGains = gains),
        )
        assertEquals(1, nextAfter(confidence = 45, gains))
        assertEquals(2, nextAfter(confidence = 20, gains))
        assertEquals(2, nextAfter(confidence = 45, ConfidenceGains(persistentMapOf(gains.means.keys.single() to 0.0))))
    }

    @Test
    fun `the gain of a model is learned from its response to a request whose first response was dropped`() {
        val rig = RelayRig().start(RelayRig.engineServers)
        val pair = ModelPair("small", "middle")
        val before = rig.state.confidenceGains.expected(pair)
        val first = rig.arrive(RelayRig.prompt.copy(promptTokens = 7, outputTokens = 0)).second.only<RelayEffect.Send>()
        val second = rig.respond(first, ResponseHead(200, confidence = 42)).only<RelayEffect.Send>()
        assertEquals("middle", second.parameters.model)
        rig.respond(second, ResponseHead(200, confidence = 92))
        assertTrue(rig.state.confidenceGains.expected(pair) > before)
    }

    @Test
    fun `without room for a second response the largest model that can answer in time is asked first`() {
        val route = RelayRig.table.routes.last().copy(targetMilliseconds = 1_000)
        fun first(vararg waits: Long, roomForSecond: Boolean = false, medianQueue: Long = 0): Int {
            val latencies = ModelLatencyEstimate(
                medianQueueMilliseconds = medianQueue,
                waitsMilliseconds = waits.toList().toPersistentList(),
            )
            val outlook = ModelOutlook(latencies, allowsSecondResponse = roomForSecond)
            return ConfidenceCascade().firstModel(route, RelayRig.prompt, outlook)
        }
        assertEquals(2, first(10, 30, 500))
        assertEquals(1, first(10, 30, 501))
        assertEquals(0, first(10, 501, 2_000))
        assertEquals(0, first(10, 30, 500, roomForSecond = true))
        assertEquals(0, first(10, 30, 500, medianQueue = 51))
    }

    private val withoutGains = ModelOutlook(
        confidenceGains = ConfidenceGains(persistentMapOf(ModelPair("small", "middle") to 0.0)),
    )

    private fun ModelChoice.after(route: Route, latencies: ModelLatencyEstimate): Int? =
        nextOrNull(route, RelayRig.prompt, ModelResponse(modelIndex = 0, confidence = 20), ModelOutlook(latencies))
}

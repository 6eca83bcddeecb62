package org.quetzalloom.core.relay

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.WorkspaceId
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.urgency.TargetUrgency
import org.quetzalloom.core.relay.urgency.Urgency
import org.quetzalloom.core.relay.urgency.UrgencyRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Requests that compete for a backend server are ranked by what a response is still worth. */
class UrgencyTest {
    private val fresh = UrgencyRequest(routePriority = 1, targetMilliseconds = 2_000, limitMilliseconds = 20_000)
    private val urgency = TargetUrgency()
    private val prompt = RelayRig.prompt.copy(promptTokens = 1_000)

    @Test
    fun `a more urgent route comes first`() {
        val ranks = (0..3).map { urgency.rankOf(fresh.copy(routePriority = it)) }
        assertEquals(ranks.sorted().distinct(), ranks)
        assertTrue(urgency.rankOf(fresh.copy(routePriority = 1_000)) <= Urgency.LEAST_URGENT)
    }

    @Test
    fun `the priority of the workspace goes before that of the route`() {
        val important = fresh.copy(workspacePriority = 0, routePriority = 2)
        assertTrue(urgency.rankOf(important) < urgency.rankOf(fresh))
        assertTrue(urgency.rankOf(important.copy(routePriority = 0)) < urgency.rankOf(important))
    }

    @Test
    fun `one that was sent before comes before new ones of its kind and not before more urgent kinds`() {
        val again = urgency.rankOf(fresh.copy(attempts = 1))
        assertTrue(again < urgency.rankOf(fresh))
        assertTrue(again > urgency.rankOf(fresh.copy(routePriority = 0)))
        assertTrue(urgency.rankOf(fresh.copy(resumed = true, attempts = 1)) < again)
    }

    @Test
    fun `one with little left of its target comes first and one that missed it yields`() {
        val ranks = listOf(1_500L, 0L, 2_500L).map { urgency.rankOf(fresh.copy(elapsedMilliseconds = it)) }
        assertEquals(ranks.sorted().distinct(), ranks)
    }

    @Test
    fun `no request stays behind all new ones of the most urgent kind`() {
        val newest = urgency.rankOf(fresh.copy(routePriority = 0))
        val old = fresh.copy(routePriority = 1, elapsedMilliseconds = 15_000, attempts = 2)
        assertTrue(urgency.rankOf(old) < newest)
    }

    private fun start(policies: RelayPolicies = RelayPolicies()): RelayRig =
        RelayRig(policies = policies).start(RelayRig.engineServers)

    private fun RelayRig.sendOf(callerId: String) =
        arrive(prompt.copy(callerId = callerId)).second.only<RelayEffect.Send>()

    @Test
    fun `a backend server that runs models is told the rank`() {
        val send = start().sendOf("p-1")
        assertEquals(2, send.parameters.urgency)
    }

    @Test
    fun `a backend server that runs no models is told none`() {
        val send = RelayRig().start().arrive(RelayRig.read).second.only<RelayEffect.Send>()
        assertEquals(null, send.parameters.urgency)
    }

    @Test
    fun `a request that is sent again has a better rank`() {
        val rig = start()
        val first = rig.sendOf("p-1")
        val second = rig.failAttempt(first, AttemptFailure.CONNECTION_LOST).only<RelayEffect.Send>()
        assertEquals(listOf<Int?>(2, 1), listOf(first, second).map { it.parameters.urgency })
    }

    @Test
    fun `without ranks by urgency a request that is sent again is one among the others`() {
        val rig = start(RelayPolicies(urgency = { 5 }))
        val first = rig.sendOf("p-1")
        val second = rig.failAttempt(first, AttemptFailure.CONNECTION_LOST).only<RelayEffect.Send>()
        assertEquals(listOf<Int?>(5, 5), listOf(first, second).map { it.parameters.urgency })
    }

    @Test
    fun `the priority of the caller's workspace is used`() {
        val rig = start()
        val priorities = persistentMapOf(WorkspaceId("bakery") to 2)
        val table = RelayRig.table.copy(version = 8, workspacePriorities = priorities)
        rig.read(Feed.ORDERS, FeedEntry.Configuration(table))
        assertEquals(5, rig.sendOf("p-1").parameters.urgency)
    }

    @Test
    fun `of the waiting requests the most urgent one is sent first`() {
        val table = RelayRig.table.copy(
            version = 8,
            routes = persistentListOf(
                *RelayRig.table.routes.filter { it.pathPrefix != "/book/" }.toTypedArray(),
                RelayRig.table.routes.first { it.pathPrefix == "/book/" }.copy(priority = 2),
            ),
        )
        val rig = start()
        rig.read(Feed.ORDERS, FeedEntry.Configuration(table))
        val (late, _) = rig.arrive(RelayRig.command)
        val (soon, _) = rig.arrive(RelayRig.read)
        rig.read(Feed.SERVERS, *RelayRig.plainServers.map { FeedEntry.Server(it) }.toTypedArray())
        val sent = rig.pass(RelayRig.TICK).filterIsInstance<RelayEffect.Send>().map { it.exchange }
        assertEquals(listOf(soon, late), sent)
    }
}

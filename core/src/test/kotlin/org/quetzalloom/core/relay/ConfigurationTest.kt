package org.quetzalloom.core.relay

import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.feed.FeedProblem
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Which configuration is in force, how feeds are read, and which requests the configuration admits. */
class ConfigurationTest {
    private fun RelayRig.refusal(request: RelayRequest): ErrorKind? =
        arrive(request).second.filterIsInstance<RelayEffect.Refuse>().singleOrNull()?.kind

    @Test
    fun `before a configuration every request is refused as not run`() {
        val rig = RelayRig()
        assertEquals(ErrorKind.NOT_READY, rig.refusal(RelayRig.command))
        assertEquals(503, ErrorKind.NOT_READY.status)
    }

    @Test
    fun `the retry-after time is longer while the store does not answer`() {
        val rig = RelayRig()
        val soon = rig.arrive(RelayRig.command).second.only<RelayEffect.Refuse>().retryAfterMilliseconds
        rig.on(RelayEvent.FeedFailed(Feed.ORDERS, FeedProblem.UNAVAILABLE, "status 503"))
        val later = rig.arrive(RelayRig.command).second.only<RelayEffect.Refuse>().retryAfterMilliseconds
        assertEquals(listOf(200L, 2_000L), listOf(soon, later))
    }

    @Test
    fun `requests with an unknown route or key are refused, and public routes need no key`() {
        val rig = RelayRig().start()
        assertEquals(ErrorKind.UNKNOWN_TARGET, rig.refusal(RelayRig.read.copy(path = "/lookout/1")))
        assertEquals(ErrorKind.UNKNOWN_TARGET, rig.refusal(RelayRig.read.copy(host = "other.example")))
        assertEquals(ErrorKind.UNAUTHENTICATED, rig.refusal(RelayRig.read.copy(key = "unknown")))
        assertEquals(ErrorKind.UNAUTHENTICATED, rig.refusal(RelayRig.read.copy(key = null)))
        assertEquals(null, rig.refusal(RelayRig.read.copy(path = "/look/open/1", key = null)))
    }

    @Test
    fun `the route with the longest prefix of the path applies`() {
        val rig = RelayRig().start()
        val effects = rig.arrive(RelayRig.read.copy(path = "/look/open/1")).second
        assertEquals("bakery", effects.only<RelayEffect.Send>().parameters.workspace?.value)
        assertEquals("/look/open/", RelayRig.table.routeOrNull("APP.example", "/look/open/1")?.pathPrefix)
        assertEquals("/look/", RelayRig.table.routeOrNull("app.example", "/look/openly")?.pathPrefix)
    }

    @Test
    fun `a lower version never replaces a higher one`() {
        val rig = RelayRig().start()
        val table = RelayRig.table
        rig.read(Feed.ORDERS, FeedEntry.Configuration(table.copy(version = 9)), FeedEntry.Configuration(table))
        assertEquals(9, rig.state.configurationVersion)
        rig.read(Feed.ORDERS, FeedEntry.Configuration(table.copy(version = 8)), snapshot = true)
        assertEquals(9, rig.state.configurationVersion)
    }

    @Test
    fun `a feed whose records have expired is read from a snapshot, and one that failed from the same offset`() {
        val rig = RelayRig()
        rig.on(RelayEvent.Tick)
        rig.read(Feed.ORDERS, snapshot = true)
        fun next() = rig.pass(2_000).filterIsInstance<RelayEffect.ReadFeed>().first { it.feed == Feed.ORDERS }
        assertEquals(1, next().from)
        rig.on(RelayEvent.FeedFailed(Feed.ORDERS, FeedProblem.UNAVAILABLE, "status 503"))
        assertEquals(1, next().from)
        rig.on(RelayEvent.FeedFailed(Feed.ORDERS, FeedProblem.EXPIRED, "status 410"))
        assertEquals(null, next().from)
    }

    @Test
    fun `at most one read of a feed is under way at a time`() {
        val rig = RelayRig()
        val reads = rig.pass(5_000).filterIsInstance<RelayEffect.ReadFeed>()
        assertEquals(setOf(Feed.ORDERS, Feed.SERVERS), reads.map { it.feed }.toSet())
        assertEquals(2, reads.size)
        assertTrue(reads.all { it.from == null })
    }

    @Test
    fun `a request is answered at the timeout of its route, even if the caller would wait longer`() {
        val rig = RelayRig().start()
        rig.arrive(RelayRig.command.copy(timeLeftMilliseconds = 60_000))
        assertTrue(rig.pass(980).none<RelayEffect.Refuse>())
        assertEquals(ErrorKind.DEADLINE_EXCEEDED, rig.pass(40).only<RelayEffect.Refuse>().kind)
    }

    @Test
    fun `the attempt of a caller that disconnects is cancelled, and its waiting request is never sent`() {
        val rig = RelayRig().start()
        val send = rig.arrive(RelayRig.read).second.only<RelayEffect.Send>()
        assertEquals(1, rig.on(RelayEvent.CallerLeft(send.exchange)).filterIsInstance<RelayEffect.CancelAttempt>().size)
        rig.read(Feed.SERVERS, snapshot = true)
        val (waiting, effects) = rig.arrive(RelayRig.read)
        assertTrue(effects.none<RelayEffect.Send>())
        rig.on(RelayEvent.CallerLeft(waiting))
        rig.read(Feed.SERVERS, *RelayRig.plainServers.map { FeedEntry.Server(it) }.toTypedArray(), snapshot = true)
        assertTrue(rig.pass(1_000).none<RelayEffect.Send>())
        assertEquals(0, rig.state.activeExchanges)
    }
}

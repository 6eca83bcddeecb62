package org.quetzalloom.core.relay

import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedProblem
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** A router that the store refuses calls it through other routers. */
class StorePathTest {
    private fun RelayRig.fail(problem: FeedProblem = FeedProblem.UNAVAILABLE): List<RelayEffect> =
        on(RelayEvent.FeedFailed(Feed.SERVERS, problem, "status 503"))

    private fun List<RelayEffect>.path(): RelayEffect.SetStorePath = only()

    @Test
    fun `one failed call changes nothing, two in a row set the path through another router`() {
        val rig = RelayRig().start(members = 3)
        assertTrue(rig.fail().none<RelayEffect.SetStorePath>())
        rig.read(Feed.SERVERS)
        assertTrue(rig.fail().none<RelayEffect.SetStorePath>())
        assertTrue(rig.fail().path().viaRouter in setOf("10.0.0.2:70", "10.0.0.3:70"))
    }

    /** Lets the read of the store fail that was sent last, after the path has changed. */
    private fun RelayRig.failNewRead(): List<RelayEffect> {
        val cursor = state.feeds.of(Feed.SERVERS).copy(reading = true, reader = null, sentAt = now)
        state = state.copy(feeds = state.feeds.with(Feed.SERVERS, cursor))
        return fail()
    }

    /** Lets what the router knows of all feeds be recent. */
    private fun RelayRig.readAll() {
        val feeds = Feed.entries.fold(state.feeds) { feeds, feed ->
            feeds.with(feed, feeds.of(feed).copy(readAt = now))
        }
        state = state.copy(feeds = feeds)
    }

    @Test
    fun `the store is called directly again after a while`() {
        val rig = RelayRig().start(members = 3)
        rig.fail()
        assertNotNull(rig.fail().path().viaRouter)
        repeat(24) {
            assertTrue(rig.pass(100).none<RelayEffect.SetStorePath>())
            rig.readAll()
        }
        assertEquals(null, rig.pass(200).path().viaRouter)
    }

    @Test
    fun `after a failure through another router, the store is called directly and then through a third one`() {
        val rig = RelayRig().start(members = 40)
        rig.fail()
        val first = rig.fail().path().viaRouter
        assertEquals(null, rig.failNewRead().path().viaRouter)
        val second = rig.failNewRead().path().viaRouter
        assertNotNull(second)
        assertNotEquals(first, second)
    }

    @Test
    fun `calls that were sent before the path changed do not change it again`() {
        val rig = RelayRig().start(members = 40)
        rig.fail()
        assertNotNull(rig.fail().path().viaRouter)
        rig.pass(RelayRig.TICK)
        val cursor = rig.state.feeds.of(Feed.SERVERS).copy(reading = true, reader = null, sentAt = rig.now + -100)
        rig.state = rig.state.copy(feeds = rig.state.feeds.with(Feed.SERVERS, cursor))
        assertTrue(rig.fail().none<RelayEffect.SetStorePath>())
    }

    @Test
    fun `a router whose records grow old does not wait for calls through another one`() {
        val rig = RelayRig().start(members = 3)
        rig.fail()
        assertNotNull(rig.fail().path().viaRouter)
        val old = rig.state.settings.ownReadAgeMilliseconds
        assertEquals(null, rig.pass(old + 200).path().viaRouter)
    }

    @Test
    fun `a router that knows no other keeps calling the store directly`() {
        val rig = RelayRig().start(members = 1)
        assertTrue((rig.fail() + rig.fail() + rig.fail()).none<RelayEffect.SetStorePath>())
    }

    @Test
    fun `records that have expired do not change the path`() {
        val rig = RelayRig().start(members = 3)
        val effects = rig.fail(FeedProblem.EXPIRED) + rig.fail(FeedProblem.EXPIRED) + rig.fail(FeedProblem.EXPIRED)
        assertTrue(effects.none<RelayEffect.SetStorePath>())
    }
}

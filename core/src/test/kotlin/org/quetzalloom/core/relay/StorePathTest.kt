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

    @Test
    fun `the store is called directly again after a while`() {
        val rig = RelayRig().start(members = 3)
        rig.fail()
        assertNotNull(rig.fail().path().viaRouter)
        assertTrue(rig.pass(2_400).none<RelayEffect.SetStorePath>())
        assertEquals(null, rig.pass(200).path().viaRouter)
    }

    @Test
    fun `another router is tried when calls through the first one fail as well`() {
        val rig = RelayRig().start(members = 40)
        rig.fail()
        val first = rig.fail().path().viaRouter
        assertTrue(rig.fail().none<RelayEffect.SetStorePath>())
        assertNotEquals(first, rig.fail().path().viaRouter)
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

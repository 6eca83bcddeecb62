package org.quetzalloom.core.relay

import org.junit.jupiter.api.Test
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.rollout.RolloutOrder
import org.quetzalloom.core.time.Timestamp
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** A router acts as the leader only on a confirmation that still holds. */
class LeadershipTest {
    private fun rig(): RelayRig = RelayRig().apply {
        read(Feed.ORDERS, FeedEntry.Configuration(RelayRig.table), snapshot = true)
        read(Feed.STATUS, snapshot = true)
        pass(RelayRig.TICK)
    }

    private fun RelayRig.confirm(sentAt: Timestamp): List<RelayEffect> =
        on(RelayEvent.GroupJoined(generation = 1, isLeader = true, sentAt = sentAt))

    private fun RelayRig.orderRollout(): List<RelayEffect> =
        read(Feed.ORDERS, FeedEntry.Rollout(RolloutOrder(RelayRig.plain, "v2", durationMilliseconds = 24_000)))

    @Test
    fun `the leadership lasts from when the call was sent, however late its answer is`() {
        val rig = rig()
        val sentAt = rig.now
        rig.pass(1_900)
        rig.confirm(sentAt)
        assertTrue(rig.state.members.isLeaderAt(rig.now))
        rig.orderRollout()
        assertFalse(rig.pass(100).none<RelayEffect.WriteRolloutStatus>())
        rig.pass(100)
        assertFalse(rig.state.members.isLeaderAt(rig.now))
    }

    @Test
    fun `an answer that arrives after its leadership has run out grants nothing`() {
        val rig = rig()
        val sentAt = rig.now
        rig.orderRollout()
        rig.pass(2_100)
        rig.confirm(sentAt)
        assertFalse(rig.state.members.isLeaderAt(rig.now))
        assertTrue(rig.pass(RelayRig.TICK).none<RelayEffect.WriteRolloutStatus>())
    }

    /** The monotonic clock of a suspended VM stands still, so the last confirmation looks recent to it. */
    @Test
    fun `after a pause, a router leads only on a call that was sent after it`() {
        val rig = rig()
        rig.confirm(rig.now)
        rig.orderRollout()
        val line = rig.on(RelayEvent.PauseDetected(6_000)).filterIsInstance<RelayEffect.Report>().last().entry
        assertEquals("duty_lost" to "paused", line.name to line.fields["reason"])
        rig.confirm(rig.now)
        assertFalse(rig.state.members.isLeaderAt(rig.now))
        assertTrue(rig.pass(RelayRig.TICK).none<RelayEffect.WriteRolloutStatus>())
        rig.confirm(rig.now)
        assertFalse(rig.pass(RelayRig.TICK).none<RelayEffect.WriteRolloutStatus>())
    }
}

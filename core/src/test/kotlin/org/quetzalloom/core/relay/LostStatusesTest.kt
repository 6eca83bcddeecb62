package org.quetzalloom.core.relay

import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.rollout.RolloutOrder
import org.quetzalloom.core.relay.rollout.RolloutPhase
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * The phase of a roll-out that a router had written was lost with an older copy of the store, from which a completed
 * roll-out began anew.
 */
class LostStatusesTest {
    private val order = RolloutOrder(RelayRig.plain, "v2", durationMilliseconds = 24_000)
    private val rig = RelayRig().start(RelayRig.plainServers + RelayRig.server("s-9", RelayRig.plain, version = "v2"))

    init {
        rig.on(read(Feed.ORDERS, FeedEntry.Rollout(order), era = 5))
        rig.on(read(Feed.STATUS, era = 5))
    }

    private fun status(phase: RolloutPhase): FeedEntry = FeedEntry.RolloutStatus(RelayRig.plain, "v2", phase)

    private fun read(feed: Feed, vararg entries: FeedEntry, era: Long): RelayEvent.FeedRead =
        RelayEvent.FeedRead(feed, entries.toList(), nextOffset = 9, snapshot = true, era = era)

    /** Lets the store come back from a copy with [entries] of the status feed; returns the phases written next. */
    private fun writtenAfterOlderCopy(vararg entries: FeedEntry): List<RolloutPhase> {
        rig.on(RelayEvent.GroupJoined(generation = 1, isLeader = true, sentAt = rig.now, era = 6))
        rig.on(read(Feed.ORDERS, FeedEntry.Rollout(order), era = 6))
        val reading = rig.pass(SHORT)
        rig.on(read(Feed.STATUS, *entries, era = 6))
        return (reading + rig.pass(SHORT)).filterIsInstance<RelayEffect.WriteRolloutStatus>().map { it.phase }
    }

    private fun phase(): RolloutPhase? = rig.state.rollouts.byService[RelayRig.plain]?.phase

    @Test
    fun `a completed or reverted roll-out that the copy has in progress is written again, and does not begin anew`() {
        for (phase in listOf(RolloutPhase.COMPLETED, RolloutPhase.REVERTED)) {
            val test = LostStatusesTest()
            test.rig.on(read(Feed.STATUS, status(phase), era = 5))
            assertEquals(listOf(phase), test.writtenAfterOlderCopy(status(RolloutPhase.IN_PROGRESS)))
            assertEquals(phase, test.phase())
        }
    }

    @Test
    fun `a roll-out in progress that the copy lacks is written again`() {
        rig.on(read(Feed.STATUS, status(RolloutPhase.IN_PROGRESS), era = 5))
        assertEquals(listOf(RolloutPhase.IN_PROGRESS), writtenAfterOlderCopy())
    }

    @Test
    fun `a phase that the copy has, or that has been written again, is not written`() {
        rig.on(read(Feed.STATUS, status(RolloutPhase.COMPLETED), era = 5))
        assertEquals(emptyList(), writtenAfterOlderCopy(status(RolloutPhase.COMPLETED)))
        val reads = rig.pass(SHORT).filterIsInstance<RelayEffect.ReadFeed>()
        assertTrue(reads.none { it.feed == Feed.STATUS }, "$reads")
        val other = LostStatusesTest()
        other.rig.on(read(Feed.STATUS, status(RolloutPhase.COMPLETED), era = 5))
        assertEquals(listOf(RolloutPhase.COMPLETED), other.writtenAfterOlderCopy())
        other.rig.on(RelayEvent.StatusWriteFinished(RelayRig.plain, RolloutPhase.COMPLETED, accepted = true))
        assertEquals(emptyList(), other.rig.pass(LONG).filterIsInstance<RelayEffect.WriteRolloutStatus>())
    }

    private companion object {
        const val SHORT = 100L
        const val LONG = 1_000L
    }
}

package org.quetzalloom.core.relay

import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedProblem
import org.quetzalloom.core.timeline.TimelineEntry
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Lines on a feed did not tell a read that the store held from one that failed at once. */
class ReportedReadsTest {
    private fun List<RelayEffect>.entry(name: String, feed: Feed): TimelineEntry =
        filterIsInstance<RelayEffect.Report>().map { it.entry }
            .single { it.name == name && it.fields["feed"] == feed.name }

    /** Sends a read of the orders, and lets it end [milliseconds] later as its records have expired. */
    private fun RelayRig.loseRead(milliseconds: Long): Pair<RelayEffect.ReadFeed, TimelineEntry> {
        val read = on(RelayEvent.Tick).filterIsInstance<RelayEffect.ReadFeed>().single { it.feed == Feed.ORDERS }
        pause(milliseconds)
        val failed = RelayEvent.FeedFailed(Feed.ORDERS, FeedProblem.EXPIRED, "unexpected status 410")
        return read to on(failed).entry("feed_lost", Feed.ORDERS)
    }

    @Test
    fun `a lost feed tells how long its read was under way and may have waited`() {
        val (read, lost) = RelayRig().start().loseRead(1_400)
        val expected = listOf(
            "feed" to "ORDERS",
            "problem" to "EXPIRED",
            "last_read_ms_ago" to "1400",
            "read_sent_ms_ago" to "1400",
            "wait_ms" to "${read.waitMilliseconds}",
        )
        assertEquals(expected, lost.fields.toList().take(expected.size))
        assertTrue(read.waitMilliseconds in 1..1_399, "${read.waitMilliseconds} ms")
        assertEquals("detail", lost.fields.keys.last())
    }

    @Test
    fun `a regained feed tells how old its records are`() {
        val rig = RelayRig().start()
        rig.loseRead(1_400)
        val regained = rig.read(Feed.ORDERS, snapshot = true).entry("feed_regained", Feed.ORDERS)
        assertEquals(listOf("feed" to "ORDERS", "age_ms" to "0", "failures" to "1"), regained.fields.toList())
    }

    @Test
    fun `old records tell whether a read is under way and since when`() {
        val rig = RelayRig().start()
        rig.on(RelayEvent.Tick)
        val effects = rig.pass(RelayRig.settings("vm-1").changeBoundMilliseconds + RelayRig.TICK)
        val stale = effects.entry("feed_stale", Feed.ORDERS).fields
        val shown = listOf("feed", "age_ms", "reading", "read_sent_ms_ago", "failures", "store_failures")
        assertEquals(shown, stale.keys.take(shown.size))
        assertEquals(listOf("true", "3020", "1520"), listOf("reading", "age_ms", "read_sent_ms_ago").map { stale[it] })
    }

    @Test
    fun `a read that the store holds tells for how long, before the newest records are read in its place`() {
        val rig = RelayRig().start()
        rig.on(RelayEvent.Tick)
        val effects = rig.pass(RelayRig.settings("vm-1").changeBoundMilliseconds)
        val held = effects.entry("feed_read_held", Feed.ORDERS).fields
        assertEquals(listOf("ORDERS", "1500", "1500"), listOf("feed", "age_ms", "read_sent_ms_ago").map { held[it] })
        val reads = effects.filterIsInstance<RelayEffect.ReadFeed>().filter { it.feed == Feed.ORDERS }
        assertEquals(null, reads.last().from)
    }
}

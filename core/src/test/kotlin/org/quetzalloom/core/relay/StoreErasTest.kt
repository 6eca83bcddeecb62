package org.quetzalloom.core.relay

import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.feed.FeedProblem
import org.quetzalloom.core.relay.feed.FeedRecord
import org.quetzalloom.core.relay.feed.RecordContent
import org.quetzalloom.core.relay.rollout.RolloutOrder
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** What a router takes for news after the store has come back from an older copy. */
class StoreErasTest {
    private val zone = RelayRig.zones.last()
    private val evacuation = FeedEntry.Evacuation(zone, active = true)
    private val rig = RelayRig("vm-1").start()

    init {
        rig.on(read(Feed.ORDERS, evacuation, nextOffset = 100, era = 5, snapshot = true))
        rig.on(read(Feed.SERVERS, nextOffset = 100, era = 5))
    }

    private fun read(
        feed: Feed,
        vararg entries: FeedEntry,
        nextOffset: Long,
        era: Long,
        snapshot: Boolean = false,
    ): RelayEvent.FeedRead = RelayEvent.FeedRead(
        feed = feed,
        entries = entries.toList(),
        nextOffset = nextOffset,
        snapshot = snapshot,
        records = entries.map { FeedRecord("$it", nextOffset - 1, RecordContent(ByteArray(1)), it) },
        era = era,
    )

    private fun join(era: Long): List<RelayEffect> =
        rig.on(RelayEvent.GroupJoined(generation = 1, isLeader = true, sentAt = rig.now, era = era))

    private fun isEvacuated(): Boolean = zone in rig.state.servers.evacuatedZones

    private fun List<RelayEffect>.read(feed: Feed): RelayEffect.ReadFeed =
        filterIsInstance<RelayEffect.ReadFeed>().first { it.feed == feed }

    private fun List<RelayEffect>.reports(name: String): List<RelayEffect.Report> =
        filterIsInstance<RelayEffect.Report>().filter { it.entry.name == name }

    /** Reads the orders as they are at the beginning of era 6. */
    private fun enterEra(vararg entries: FeedEntry) {
        join(era = 6)
        val read = rig.pass(LONGEST_WAIT).read(Feed.ORDERS)
        assertEquals(null to 6L, read.from to read.era)
        rig.on(read(Feed.ORDERS, *entries, nextOffset = 90, era = 6, snapshot = true).copy(number = read.number))
    }

    @Test
    fun `a read that was sent in the era before gives no records and no offset`() {
        val sent = rig.pass(LONGEST_WAIT).read(Feed.ORDERS)
        assertEquals(100, sent.from)
        val end = FeedEntry.Evacuation(zone, active = false)
        rig.on(read(Feed.ORDERS, end, nextOffset = 103, era = 6).copy(number = sent.number))
        assertTrue(isEvacuated())
        val next = rig.pass(LONGEST_WAIT).read(Feed.ORDERS)
        assertEquals(null to 6L, next.from to next.era)
    }

    @Test
    fun `a late result of an era before the present one is no news`() {
        val late = rig.pass(LONGEST_WAIT).read(Feed.ORDERS)
        enterEra(evacuation)
        val end = FeedEntry.Evacuation(zone, active = false)
        rig.on(read(Feed.ORDERS, end, nextOffset = 101, era = 5, snapshot = true).copy(number = late.number))
        assertTrue(isEvacuated())
        assertEquals(90, rig.state.feeds.of(Feed.ORDERS).nextOffset)
    }

    @Test
    fun `an evacuation and a roll-out that the copy lacks last until a record ends them`() {
        val order = FeedEntry.Rollout(RolloutOrder(RelayRig.plain, "v2", durationMilliseconds = 60_000))
        rig.on(read(Feed.ORDERS, order, nextOffset = 101, era = 5))
        enterEra()
        assertTrue(isEvacuated())
        assertTrue(RelayRig.plain in rig.state.rollouts.byService)
        rig.on(read(Feed.ORDERS, FeedEntry.Evacuation(zone, active = false), nextOffset = 91, era = 6))
        rig.on(read(Feed.ORDERS, FeedEntry.RolloutRemoved(RelayRig.plain), nextOffset = 92, era = 6))
        assertTrue(!isEvacuated())
        assertTrue(RelayRig.plain !in rig.state.rollouts.byService)
    }

    @Test
    fun `an evacuation that has been written again ends with a snapshot that lacks it`() {
        enterEra()
        rig.on(read(Feed.ORDERS, evacuation, nextOffset = 91, era = 6))
        rig.on(read(Feed.ORDERS, nextOffset = 95, era = 6, snapshot = true))
        assertTrue(!isEvacuated())
    }

    @Test
    fun `an evacuation that is never written again ends with a later snapshot`() {
        enterEra()
        rig.pass(10_500)
        rig.on(read(Feed.ORDERS, nextOffset = 95, era = 6, snapshot = true))
        assertTrue(!isEvacuated())
    }

    @Test
    fun `a server that the copy lacks gets requests until it would have been listed again`() {
        join(era = 6)
        val read = rig.pass(LONGEST_WAIT).read(Feed.SERVERS)
        val others = RelayRig.plainServers.drop(1).map { FeedEntry.Server(it) }.toTypedArray()
        rig.on(read(Feed.SERVERS, *others, nextOffset = 90, era = 6, snapshot = true).copy(number = read.number))
        val server = RelayRig.plainServers.first()
        assertTrue(server.id in rig.state.servers.views)
        rig.on(read(Feed.SERVERS, FeedEntry.Server(server.copy(sequence = 2)), nextOffset = 91, era = 6))
        rig.pass(4_000)
        assertTrue(rig.state.servers.mayReceive(server.id, rig.now))
    }

    @Test
    fun `another router is answered with a snapshot if its offset is of an era before`() {
        enterEra(evacuation)
        val effects = rig.on(RelayEvent.FeedAsked(1, Feed.ORDERS, from = 90, waitMilliseconds = 0, era = 5))
        val answer = effects.only<RelayEffect.AnswerFeed>().answer
        assertEquals(listOf<Any?>(true, 90L, 6L), listOf(answer?.snapshot, answer?.nextOffset, answer?.era))
        val current = rig.on(RelayEvent.FeedAsked(2, Feed.ORDERS, from = 90, waitMilliseconds = 0, era = 6))
        assertEquals(false, current.only<RelayEffect.AnswerFeed>().answer?.snapshot)
    }

    @Test
    fun `a call from a later era is answered after the store has been read again`() {
        val effects = rig.on(RelayEvent.FeedAsked(1, Feed.ORDERS, from = 90, waitMilliseconds = 400, era = 6)) +
            rig.pass(LONGEST_WAIT)
        assertTrue(effects.none<RelayEffect.AnswerFeed>())
        val read = effects.read(Feed.ORDERS)
        val news = read(Feed.ORDERS, evacuation, nextOffset = 92, era = 6, snapshot = true).copy(number = read.number)
        val answer = rig.on(news).only<RelayEffect.AnswerFeed>().answer
        assertEquals(92L to 6L, answer?.nextOffset to answer?.era)
    }

    @Test
    fun `a reader of the era before is asked again, and one that tells no era is left out`() {
        rig.join(members = 4)
        val reads = rig.pass(LONGEST_INTERVAL).filterIsInstance<RelayEffect.ReadFeed>()
        val asked = reads.last { it.feed == Feed.ORDERS && it.reader != null }
        join(era = 6)
        val old = read(Feed.ORDERS, nextOffset = 104, era = 5).copy(throughReader = true, number = asked.number)
        rig.on(old)
        val again = rig.pass(LONGEST_WAIT).read(Feed.ORDERS)
        assertEquals(listOf(asked.reader, null, 6L), listOf(again.reader, again.from, again.era))
        rig.on(old.copy(era = 0, number = again.number, snapshot = true))
        val next = rig.pass(LONGEST_WAIT).read(Feed.ORDERS)
        assertTrue(next.reader != asked.reader, "$next")
    }

    @Test
    fun `the first era that is heard voids nothing, and each rise is logged once`() {
        val started = RelayRig("vm-2").start()
        assertEquals(1, started.on(RelayEvent.GroupJoined(1, true, started.now, era = 5)).reports("store_era").size)
        assertEquals(1, started.state.feeds.of(Feed.ORDERS).nextOffset)
        assertEquals(0, join(era = 5).reports("store_era").size)
        assertEquals(1, join(era = 6).reports("store_era").size)
        assertEquals(0, join(era = 6).reports("store_era").size)
    }

    @Test
    fun `a refused read tells of the era, too`() {
        rig.on(RelayEvent.FeedFailed(Feed.ORDERS, FeedProblem.EXPIRED, "status 410", era = 6))
        assertEquals(null, rig.pass(LONGEST_WAIT).read(Feed.SERVERS).from)
    }

    private companion object {
        const val LONGEST_WAIT = 100L

        /** After this time each feed is being read through another router. */
        const val LONGEST_INTERVAL = 1_200L
    }
}

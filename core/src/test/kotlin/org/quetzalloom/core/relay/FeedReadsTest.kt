package org.quetzalloom.core.relay

import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.feed.FeedProblem
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Reads of the feeds and their results. */
class FeedReadsTest {
    private fun List<RelayEffect>.read(feed: Feed): RelayEffect.ReadFeed =
        filterIsInstance<RelayEffect.ReadFeed>().single { it.feed == feed }

    private fun answer(read: RelayEffect.ReadFeed, ageMilliseconds: Long): RelayEvent.FeedRead = RelayEvent.FeedRead(
        feed = read.feed,
        entries = emptyList(),
        nextOffset = read.from ?: 0,
        snapshot = false,
        throughReader = true,
        ageMilliseconds = ageMilliseconds,
        number = read.number,
    )

    /** A router that follows others, and its first reads through the acting reader. */
    private fun follower(): Pair<RelayRig, List<RelayEffect>> {
        val rig = RelayRig("vm-2").start(members = 4)
        return rig to rig.pass(READ_INTERVAL)
    }

    /** The late answer of a reader was taken for that of the reader asked after it. */
    @Test
    fun `the result of a read that was given up is not that of the next one`() {
        val (rig, effects) = follower()
        val first = effects.read(Feed.ORDERS)
        rig.on(answer(first, ageMilliseconds = OLD))
        val next = rig.pass(LONGEST_INTERVAL).read(Feed.ORDERS)
        assertTrue(next.reader != null && next.reader != first.reader, "$next")
        rig.on(answer(first, ageMilliseconds = OLD))
        assertTrue(rig.pass(LONGEST_INTERVAL).none { it is RelayEffect.ReadFeed && it.feed == Feed.ORDERS })
        rig.on(answer(next, ageMilliseconds = 0))
        assertEquals(next.reader, rig.pass(LONGEST_INTERVAL).read(Feed.ORDERS).reader)
    }

    /** A reader with old orders was asked for them again as soon as it had answered with recent servers. */
    @Test
    fun `recent records of one feed do not make up for old ones of another`() {
        val (rig, effects) = follower()
        val orders = effects.read(Feed.ORDERS)
        val servers = effects.read(Feed.SERVERS)
        rig.on(answer(orders, ageMilliseconds = OLD))
        rig.on(answer(servers, ageMilliseconds = 0))
        val next = rig.pass(LONGEST_INTERVAL)
        assertTrue(next.read(Feed.ORDERS).reader != orders.reader, "$next")
        assertTrue(next.read(Feed.SERVERS).reader != orders.reader, "$next")
    }

    /** A read of the store ended an evacuation that a late answer of a reader had begun, for good. */
    @Test
    fun `a read of the store that was overtaken by a reader's answer does not bring back older records`() {
        val (rig, effects) = follower()
        val zone = RelayRig.zones.first()
        val read = effects.read(Feed.ORDERS)
        rig.pass(LONGEST_INTERVAL)
        rig.on(
            answer(read, ageMilliseconds = 0)
                .copy(entries = listOf(FeedEntry.Evacuation(zone, active = true)), nextOffset = 9),
        )
        val overtaken = listOf(FeedEntry.Evacuation(zone, active = false))
        rig.on(RelayEvent.FeedRead(Feed.ORDERS, overtaken, nextOffset = 8, snapshot = false))
        assertTrue(zone in rig.state.servers.evacuatedZones)
        assertEquals(9, rig.state.feeds.of(Feed.ORDERS).nextOffset)
    }

    /** After the records at its offset had expired, a router took an older snapshot, and ended an evacuation by it. */
    @Test
    fun `a snapshot of a reader that has read less is not taken after records have expired`() {
        val rig = RelayRig("vm-2").start()
        val zone = RelayRig.zones[1]
        val evacuation = FeedEntry.Evacuation(zone, active = true)
        rig.on(RelayEvent.FeedRead(Feed.ORDERS, listOf(evacuation), nextOffset = 5, snapshot = false))
        rig.on(RelayEvent.FeedFailed(Feed.ORDERS, FeedProblem.EXPIRED, "status 410"))
        rig.join(members = 4)
        val read = rig.pass(READ_INTERVAL).filterIsInstance<RelayEffect.ReadFeed>().last { it.feed == Feed.ORDERS }
        assertEquals(null, read.from)
        rig.on(answer(read, ageMilliseconds = 0).copy(nextOffset = 3, snapshot = true))
        assertTrue(zone in rig.state.servers.evacuatedZones)
        val next = rig.pass(LONGEST_INTERVAL).read(Feed.ORDERS)
        rig.on(answer(next, ageMilliseconds = 0).copy(nextOffset = 6, snapshot = true))
        assertTrue(zone !in rig.state.servers.evacuatedZones)
    }

    /** The answer was rejected as older, and its reader left out, after the records had expired. */
    @Test
    fun `a router whose records have expired reads the store if the reader has large records`() {
        val rig = RelayRig("vm-2").start()
        rig.on(RelayEvent.FeedFailed(Feed.ORDERS, FeedProblem.EXPIRED, "status 410"))
        rig.join(members = 4)
        val read = rig.pass(LONGEST_INTERVAL).filterIsInstance<RelayEffect.ReadFeed>().last { it.feed == Feed.ORDERS }
        rig.on(answer(read, ageMilliseconds = 0).copy(tooLarge = true))
        val next = rig.pass(LONGEST_INTERVAL).read(Feed.ORDERS)
        assertEquals(null to null, next.from to next.reader)
    }

    /** A router went on from an offset that had expired, and got no answer for as long as the store held such reads. */
    @Test
    fun `the result of a read that was given up does not bring back an offset that has expired`() {
        for (isTooLarge in listOf(true, false)) {
            val rig = RelayRig("vm-2").start()
            rig.on(RelayEvent.FeedRead(Feed.ORDERS, emptyList(), nextOffset = 5, snapshot = false))
            rig.join(members = 4)
            val givenUp = rig.pass(
                READ_INTERVAL
            ).filterIsInstance<RelayEffect.ReadFeed>().last { it.feed == Feed.ORDERS }
            rig.on(answer(givenUp, ageMilliseconds = OLD))
            rig.pass(LONGEST_INTERVAL)
            val last = rig.state.feeds.of(Feed.ORDERS)
            val expired = RelayEvent.FeedFailed(
                feed = Feed.ORDERS,
                problem = FeedProblem.EXPIRED,
                detail = "status 410",
                throughReader = last.reader != null,
                number = last.number,
            )
            rig.on(expired)
            rig.on(answer(givenUp, ageMilliseconds = 0).copy(tooLarge = isTooLarge))
            assertEquals(null, rig.state.feeds.of(Feed.ORDERS).nextOffset, "too large: $isTooLarge")
        }
    }

    /** The time at which a result arrived was taken for that of its state, as its records had been left out. */
    @Test
    fun `a read that was overtaken tells the state as of when it was sent`() {
        val rig = RelayRig("vm-1").start()
        val read = rig.pass(READ_INTERVAL).filterIsInstance<RelayEffect.ReadFeed>().last { it.feed == Feed.ORDERS }
        val sentAt = rig.state.feeds.of(Feed.ORDERS).sentAt
        rig.on(answer(read, ageMilliseconds = 0).copy(nextOffset = 9, snapshot = true, number = read.number - 1))
        rig.pass(LONGEST_INTERVAL)
        val evacuation = FeedEntry.Evacuation(RelayRig.zones.first(), active = true)
        val result = answer(read, ageMilliseconds = 0).copy(throughReader = false, nextOffset = 7)
        rig.on(result.copy(entries = listOf(evacuation)))
        assertEquals(sentAt, rig.state.feeds.of(Feed.ORDERS).readAt)
    }

    /** A feed waited for two seconds after failures though the store had answered other calls meanwhile. */
    @Test
    fun `a feed that failed is read again as soon as the store answers another call`() {
        val rig = RelayRig("vm-1").start()
        var lastRead = 0L
        for (elapsed in 0L..FAILURES_LAST step RelayRig.TICK) {
            rig.pass(RelayRig.TICK).filterIsInstance<RelayEffect.ReadFeed>().forEach { read ->
                if (read.feed == Feed.ORDERS) {
                    assertTrue(elapsed - lastRead <= SERVERS_INTERVAL + RelayRig.TICK, "$lastRead to $elapsed ms")
                    lastRead = elapsed
                    rig.on(RelayEvent.FeedFailed(read.feed, FeedProblem.UNAVAILABLE, "refused", number = read.number))
                } else {
                    rig.on(answer(read, ageMilliseconds = 0).copy(throughReader = false))
                }
            }
        }
        assertTrue(FAILURES_LAST - lastRead <= SERVERS_INTERVAL, "$lastRead ms")
    }

    private companion object {
        const val FAILURES_LAST = 8_000L

        /** The time between two reads of the list of servers. */
        const val SERVERS_INTERVAL = 1_000L
        const val OLD = 10_000L
        const val LONGEST_INTERVAL = 100L

        /** After this time each feed is being read through another router. */
        const val READ_INTERVAL = 1_200L
    }
}

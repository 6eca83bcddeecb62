package org.quetzalloom.core.relay

import org.quetzalloom.core.relay.feed.Feed
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

    private companion object {
        const val OLD = 10_000L
        const val LONGEST_INTERVAL = 100L

        /** After this time each feed is being read through another router. */
        const val READ_INTERVAL = 1_200L
    }
}

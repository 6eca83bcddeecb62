package org.quetzalloom.core.relay

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedAnswer
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.feed.FeedRecord
import org.quetzalloom.core.relay.feed.RecordContent
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** One router reads the store for all, at a few calls a second whatever the size of the fleet. */
class ReadersTest {
    @Test
    fun `the calls to the store hardly grow with the fleet`() {
        val calls = listOf(3, 30, 300).map { ReaderFleet(it).callsIn(30_000) }
        assertTrue(calls.all { it <= 4.0 * 30 }, "$calls in 30 s")
        assertTrue(calls[2] <= calls[1] * 1.5, "$calls")
    }

    /** A router that starts lists the members once. */
    @Test
    fun `routers that start get their snapshots from the reader`() {
        val readers = ReaderFleet(routers = 40)
        val fleet = readers.fleet
        val started = readers.readers.drop(1).take(20)
        val before = started.associateWith { fleet.store.callsByVm.getValue(it) }
        started.forEach { fleet.restart(it) }
        fleet.pass(2_000)
        assertTrue(fleet.vms.all { fleet.states.getValue(it).configurationVersion == RelayRig.table.version })
        val calls = started.map { fleet.store.callsByVm.getValue(it) - before.getValue(it) }
        assertTrue(calls.all { it <= 1 }, "$calls")
    }

    /** Configurations of thousands of routes were late where the link of the reader's VM was narrow. */
    @Test
    fun `records that are too large for a reader's link are read from the store`() {
        val rig = RelayRig()
        val large = FeedRecord("config", offset = 4, RecordContent(ByteArray(100_000)), entry = null)
        rig.on(RelayEvent.FeedRead(Feed.ORDERS, emptyList(), nextOffset = 5, snapshot = true, records = listOf(large)))
        val answers = rig.on(RelayEvent.FeedAsked(1, Feed.ORDERS, from = null, waitMilliseconds = 0))
        assertEquals(true, answers.only<RelayEffect.AnswerFeed>().answer?.tooLarge)
        assertTrue(answers.only<RelayEffect.AnswerFeed>().answer?.records.isNullOrEmpty())

        val fleet = ReaderFleet(routers = 7).fleet
        val calls = fleet.storeCalls
        fleet.tamperAnswer = { _, feed, answer ->
            if (feed == Feed.ORDERS) answer.copy(records = persistentListOf(), tooLarge = true) else answer
        }
        fleet.write(Feed.ORDERS, FeedEntry.Configuration(RelayRig.table.copy(version = RelayRig.table.version + 1)))
        fleet.pass(2_000)
        assertTrue(fleet.vms.all { fleet.states.getValue(it).configurationVersion == RelayRig.table.version + 1 })
        assertTrue(fleet.storeCalls > calls)
    }

    @Test
    fun `a change is known everywhere at once while the reader answers`() {
        for (routers in listOf(1, 2, 7, 40)) {
            val time = ReaderFleet(routers).timeToSpread()
            assertTrue(time <= 1_100, "$time ms among $routers")
        }
    }

    @Test
    fun `while the store is in trouble, there are no more calls than in calm`() {
        val troubles: Map<String, (ReaderFleet) -> Unit> = mapOf(
            "store down" to { it.fleet.store.isDown = true },
            "store slow" to { it.fleet.store.responseMilliseconds = 300 },
        )
        val calm = ReaderFleet(routers = 40).callsIn(20_000)
        troubles.forEach { (name, begin) ->
            val readers = ReaderFleet(routers = 40)
            begin(readers)
            val calls = readers.callsIn(20_000)
            assertTrue(calls <= calm * 1.1, "$name: $calls, $calm in calm")
        }
    }

    /** The records that readers pass on, while servers renew their entries and change nothing. */
    @Test
    fun `renewed entries that change nothing are not passed on`() {
        val readers = ReaderFleet(routers = 7)
        var records = 0
        readers.fleet.tamperAnswer = { _, _: Feed, answer: FeedAnswer -> answer.also { records += it.records.size } }
        readers.callsIn(10_000)
        assertTrue(records == 0, "$records records")
    }
}

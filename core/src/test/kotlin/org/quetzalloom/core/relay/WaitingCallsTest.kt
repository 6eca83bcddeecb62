package org.quetzalloom.core.relay

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedRecord
import org.quetzalloom.core.relay.feed.RecordContent
import kotlin.test.Test
import kotlin.test.assertEquals

/** Of the calls that waited at a reader of many routers, some were lost, and every event failed from then on. */
class WaitingCallsTest {
    @Test
    fun `calls for records that still wait after others were answered are answered later`() {
        for ((staying, leaving) in numbersOfCalls) {
            val rig = RelayRig().start()
            news(rig, Feed.ORDERS, offset = 1)
            news(rig, Feed.SERVERS, offset = 1)
            (1..staying).forEach { ask(rig, it, Feed.ORDERS) }
            (1..leaving).forEach { ask(rig, staying + it, Feed.SERVERS) }
            val first = news(rig, Feed.SERVERS, offset = 2).answeredCalls()
            assertEquals((1..leaving).map { staying + it }, first, "$staying calls, then $leaving for servers")
            val second = news(rig, Feed.ORDERS, offset = 2).answeredCalls()
            assertEquals((1..staying).toList(), second, "$staying calls for orders, then $leaving")
            assertEquals(emptyList(), rig.pass(WAIT_MILLISECONDS * 2).answeredCalls())
        }
    }

    @Test
    fun `calls for the members that still wait after others were answered are answered later`() {
        for ((staying, leaving) in numbersOfCalls) {
            val rig = RelayRig()
            (1..staying).forEach { rig.on(RelayEvent.MembersAsked(it.toLong(), generation = 2)) }
            (1..leaving).forEach { rig.on(RelayEvent.MembersAsked((staying + it).toLong(), generation = 1)) }
            val first = listMembers(rig, generation = 1).answeredMembersCalls()
            assertEquals((1..leaving).map { staying + it }, first, "$staying calls, then $leaving for the first list")
            val second = listMembers(rig, generation = 2).answeredMembersCalls()
            assertEquals((1..staying).toList(), second, "$staying calls for the second list, then $leaving")
            assertEquals(emptyList(), rig.pass(WAIT_MILLISECONDS * 2).answeredMembersCalls())
        }
    }

    /** Delivers a record of [feed] with the offset [offset]; returns the effects. */
    private fun news(rig: RelayRig, feed: Feed, offset: Long): List<RelayEffect> {
        val record = FeedRecord("key", offset, RecordContent(byteArrayOf(offset.toByte())), entry = null)
        return rig.on(
            RelayEvent.FeedRead(feed, emptyList(), nextOffset = offset + 1, snapshot = false, records = listOf(record)),
        )
    }

    private fun ask(rig: RelayRig, call: Int, feed: Feed) {
        rig.on(RelayEvent.FeedAsked(call.toLong(), feed, from = 2, waitMilliseconds = WAIT_MILLISECONDS))
    }

    private fun listMembers(rig: RelayRig, generation: Long): List<RelayEffect> =
        rig.on(RelayEvent.MembersListed(generation, memberAddresses = mapOf(VmId("vm-2") to "10.0.0.2:70")))

    private fun List<RelayEffect>.answeredCalls(): List<Int> =
        filterIsInstance<RelayEffect.AnswerFeed>().map { it.call.toInt() }

    private fun List<RelayEffect>.answeredMembersCalls(): List<Int> =
        filterIsInstance<RelayEffect.AnswerMembers>().map { it.call.toInt() }

    private companion object {
        const val WAIT_MILLISECONDS = 600L

        /** The numbers of calls that stay and of those that are answered before them. */
        val numbersOfCalls = listOf(1 to 1, 31 to 70, 32 to 40, 33 to 70, 64 to 64, 65 to 40, 96 to 130)
    }
}

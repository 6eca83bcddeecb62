package org.quetzalloom.core.relay

import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.timeline.TimelineEntry
import kotlin.test.Test
import kotlin.test.assertEquals

/** Refusals did not tell a router that is behind from a request that no configuration allows. */
class ReportedVersionsTest {
    private val unknown = RelayRequest(callerId = "r-1", host = "other.example", path = "/look/1")

    private fun List<RelayEffect>.entry(name: String): TimelineEntry =
        filterIsInstance<RelayEffect.Report>().map { it.entry }.single { it.name == name }

    private fun TimelineEntry.first(count: Int): List<Pair<String, String>> = fields.toList().take(count)

    private fun RelayRig.readVersion(version: Long): TimelineEntry {
        val configuration = FeedEntry.Configuration(RelayRig.table.copy(version = version))
        return read(Feed.ORDERS, configuration).entry("configuration_applied")
    }

    @Test
    fun `a refusal names the version, how long ago it was applied and the age of the orders`() {
        val rig = RelayRig().start()
        rig.pause(300)
        rig.readVersion(8)
        rig.pause(200)
        rig.read(Feed.ORDERS)
        rig.pause(50)
        val refused = rig.arrive(unknown).second.entry("request_refused")
        val expected = listOf(
            "request" to "r-1",
            "kind" to "unknown_target",
            "version" to "8",
            "applied_ms_ago" to "250",
            "orders_read_ms_ago" to "50",
        )
        assertEquals(expected, refused.first(expected.size))
    }

    @Test
    fun `an older configuration does not renew the time at which the one in force was applied`() {
        val rig = RelayRig().start()
        rig.pause(300)
        rig.read(Feed.ORDERS, FeedEntry.Configuration(RelayRig.table.copy(version = 6)), snapshot = true)
        val refused = rig.arrive(unknown).second.entry("request_refused")
        assertEquals(listOf("7", "300"), listOf("version", "applied_ms_ago").map { refused.fields[it] })
    }

    @Test
    fun `a configuration names the version before it and the read that brought it`() {
        val applied = RelayRig().start().readVersion(9)
        val expected = listOf(
            "version" to "9",
            "previous" to "7",
            "orders_read_ms_ago" to "0",
            "given_up" to "false",
            "snapshot" to "false",
            "next_offset" to "1",
        )
        assertEquals(expected, applied.first(expected.size))
    }

    @Test
    fun `a configuration that a read brought which had been given up says so`() {
        val rig = RelayRig()
        rig.on(RelayEvent.Tick)
        val late = RelayEvent.FeedRead(
            feed = Feed.ORDERS,
            entries = listOf(FeedEntry.Configuration(RelayRig.table)),
            nextOffset = 5,
            snapshot = true,
            throughReader = true,
        )
        val applied = rig.on(late).entry("configuration_applied")
        assertEquals(listOf("true", "5"), listOf("given_up", "next_offset").map { applied.fields[it] })
    }
}

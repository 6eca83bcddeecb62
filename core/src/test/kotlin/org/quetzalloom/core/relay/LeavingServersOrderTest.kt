package org.quetzalloom.core.relay

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.feed.FeedProblem
import org.quetzalloom.core.relay.peer.PeerBeacon
import org.quetzalloom.core.relay.server.LeavingReport
import org.quetzalloom.core.relay.server.ServerListing
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Backend servers drain, stop with and without a word, fall silent and start again, while the list comes with older
 * entries, unreadable ones, snapshots of an older state and gaps. None that has said that it leaves gets a request
 * until an entry of a later run has been read.
 */
class LeavingServersOrderTest {
    /** A server, and what this router has learned of it: the last entry, and the run that has said that it leaves. */
    private class Server(var listing: ServerListing) {
        val written = mutableListOf(listing)
        var leaving = false
        var newestRead = listing
        var announcedRun: Long? = null

        /** Whether the server said with its newest entry, or in a response, that it leaves, as this router knows. */
        val mustRest: Boolean get() = newestRead.draining || announcedRun == newestRead.startedAt

        fun write(next: ServerListing): ServerListing = next.also {
            listing = it
            written += it
        }
    }

    private class Day(seed: Long) {
        private val random = Random(seed)
        private val servers = RelayRig.plainServers.map { Server(it.copy(startedAt = 1_000, sequence = 1)) }
        private val rig = RelayRig().start(servers.map { it.listing }, members = 2)
        private var beacons = 0L
        private val steps = mutableListOf<String>()
        private var open = listOf<RelayEffect.Send>()

        fun play() {
            repeat(STEPS) {
                step(servers.random(random))
                request()
            }
        }

        private fun step(server: Server) {
            when (random.nextInt(KINDS)) {
                0 -> read(server.write(server.listing.copy(sequence = server.listing.sequence + 1)))
                1 -> drain(server)
                2 -> leaveSilently(server)
                3 -> remove(server, "lapsed")
                4 -> restart(server)
                5 -> read(server.written.random(random))
                6 -> snapshot()
                7 -> rig.on(RelayEvent.FeedFailed(Feed.SERVERS, FeedProblem.UNAVAILABLE, "down"))
                8 -> rig.read(Feed.SERVERS, FeedEntry.Unreadable(server.listing.id.value, "odd"))
                9 -> beacon(server)
                else -> rig.pass(RelayRig.TICK * random.nextLong(1, LONGEST_PASS_TICKS)).also { check(it) }
            }
        }

        private fun remove(server: Server, reason: String) {
            steps += "$reason ${server.listing.id}"
            check(rig.read(Feed.SERVERS, FeedEntry.ServerRemoved(server.listing.id)))
        }

        private fun drain(server: Server) {
            server.leaving = true
            read(server.write(server.listing.copy(draining = true, sequence = server.listing.sequence + 1)))
        }

        private fun leaveSilently(server: Server) {
            server.leaving = true
            remove(server, "gone")
        }

        private fun restart(server: Server) {
            server.leaving = false
            val run = server.listing.startedAt + 1
            read(server.write(server.listing.copy(startedAt = run, sequence = 1, draining = false)))
        }

        private fun read(listing: ServerListing) {
            learn(listing)
            steps += "read ${listing.describe()}"
            check(rig.read(Feed.SERVERS, FeedEntry.Server(listing)))
        }

        /** The newest entries, or those of some time ago; the entry of a server may be missing. */
        private fun snapshot() {
            val listed = servers.filter { random.nextInt(4) > 0 }.map { server ->
                if (random.nextBoolean()) server.written.last() else server.written.random(random)
            }
            listed.forEach { learn(it) }
            steps += "snapshot ${listed.joinToString { it.describe() }}"
            val entries = listed.map { FeedEntry.Server(it) }.toTypedArray()
            check(rig.read(Feed.SERVERS, *entries, snapshot = true))
        }

        /** Another router tells what the server has said to it. */
        private fun beacon(server: Server) {
            if (!server.leaving) return
            val report = LeavingReport(server.listing.id, server.listing.startedAt, sequence = null)
            val beacon =
                PeerBeacon(VmId("vm-2"), ++beacons, work = persistentMapOf(), leaving = persistentListOf(report))
            if (server.newestRead.startedAt == report.startedAt) server.announcedRun = report.startedAt
            steps += "told ${server.listing.describe()}"
            check(rig.on(RelayEvent.BeaconReceived(beacon)))
        }

        private fun learn(listing: ServerListing) {
            val server = servers.first { it.listing.id == listing.id }
            val newest = server.newestRead
            val isNewer = listing.startedAt > newest.startedAt ||
                listing.startedAt == newest.startedAt && listing.sequence >= newest.sequence
            if (isNewer) server.newestRead = listing
        }

        private fun request() {
            check(rig.arrive(RelayRig.read.copy(callerId = "q-${random.nextInt()}")).second)
            open.forEach { send ->
                val server = servers.first { it.listing.id == send.serverId }
                val fails = random.nextBoolean()
                val effects = if (fails) rig.failAttempt(send, AttemptFailure.NOT_CONNECTED) else answer(send, server)
                check(effects, keep = false)
            }
            open = emptyList()
        }

        /** The answer binds this router if it is passed on, which that of an attempt that was given up is not. */
        private fun answer(send: RelayEffect.Send, server: Server): List<RelayEffect> {
            val effects = rig.respond(send, ResponseHead(status = 200, leaving = server.leaving))
            val passedOn = !effects.none<RelayEffect.ForwardResponse>()
            if (passedOn && server.leaving) server.announcedRun = server.newestRead.startedAt
            steps += "answer of ${server.listing.id}, leaving ${server.leaving}, passed on $passedOn"
            return effects + rig.on(RelayEvent.ResponseFinished(send.exchange, send.attempt))
        }

        private fun check(effects: List<RelayEffect>, keep: Boolean = true) {
            val sends = effects.filterIsInstance<RelayEffect.Send>()
            sends.forEach { send ->
                val server = servers.first { it.listing.id == send.serverId }
                val story = steps.takeLast(STORY).joinToString("\n")
                assertTrue(!server.mustRest, "a request was sent to ${send.serverId} after\n$story")
            }
            if (keep) open = open + sends
        }

        private fun ServerListing.describe(): String = "$id run $startedAt entry $sequence draining $draining"

        private companion object {
            const val STEPS = 200
            const val KINDS = 14
            const val LONGEST_PASS_TICKS = 60L
            const val STORY = 30
        }
    }

    @Test
    fun `a server that has said that it leaves gets no request, in any order of events`() {
        val seeds = System.getProperty("seed")?.let { listOf(it.toLong()) } ?: (1L..SEEDS).toList()
        val failures = seeds.mapNotNull { seed ->
            runCatching { Day(seed).play() }.exceptionOrNull()?.let { seed to it }
        }
        val first = failures.firstOrNull()
        assertEquals(0, failures.size, "${failures.size} seeds fail, first ${first?.first}: ${first?.second?.message}")
    }

    private companion object {
        const val SEEDS = 100L
    }
}

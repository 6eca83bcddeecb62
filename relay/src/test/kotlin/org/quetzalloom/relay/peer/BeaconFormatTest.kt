package org.quetzalloom.relay.peer

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.junit.jupiter.api.assertThrows
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.crash.ContentKey
import org.quetzalloom.core.relay.crash.CrashReport
import org.quetzalloom.core.relay.crash.ServerRun
import org.quetzalloom.core.relay.peer.PeerBeacon
import org.quetzalloom.core.relay.peer.RolloutReport
import org.quetzalloom.core.relay.rollout.OutcomeSums
import org.quetzalloom.core.relay.rollout.TimingSums
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.relay.server.LeavingReport
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests the JSON format of beacons. */
class BeaconFormatTest {
    private val beacon = PeerBeacon(
        vm = VmId("vm-1"),
        sequence = 7,
        work = persistentMapOf(BackendServerId("s-1") to 1_200L),
        rollouts = persistentListOf(
            RolloutReport(
                service = ServiceName("loom"),
                version = "v2",
                ageMilliseconds = 1_500,
                old = OutcomeSums(answers = 40, failures = 1, logLatency = 120.5),
                new = OutcomeSums(
                    answers = 4,
                    failures = 2,
                    logLatency = 11.25,
                    starts = TimingSums(count = 4, excess = 2.5, excessSquares = 3.25),
                    events = TimingSums(count = 1, excess = -0.125, excessSquares = 0.016),
                ),
                condemned = true,
                proposal = 1_796_405_000_000,
                agreement = 1_796_404_000_000,
                agreedWith = VmId("vm-2"),
                oldSessions = persistentListOf(-17, 1_839_274_123),
                heavySessions = persistentListOf(12),
                newSessions = persistentMapOf(12 to 40, -3 to 2),
            ),
        ),
        crashes = persistentListOf(
            CrashReport(
                key = ContentKey.ofPart("c035e0a55d7f"),
                position = 3,
                lossAges = persistentMapOf(ServerRun(-1_839_274_123) to 120L, ServerRun(12) to 4_000L),
                answerAgeMilliseconds = 9_000,
                trialAgeMilliseconds = 500,
            ),
        ),
        durations = persistentMapOf(BackendServerId("s-2") to 170),
        leaving = persistentListOf(
            LeavingReport(BackendServerId("s-1"), startedAt = 1_796_405_000_000, sequence = 12),
            LeavingReport(BackendServerId("s-2"), startedAt = 0, sequence = null),
        ),
        callerPort = 65_535,
        storeReadMillisecondsAgo = 670,
    )

    @Test
    fun `decoding returns the encoded beacon`() {
        assertEquals(beacon, BeaconFormat.decode(BeaconFormat.encode(beacon)))
    }

    @Test
    fun `unknown fields are ignored, and an absent list is empty`() {
        val text = """{"vm":"vm-1","sequence":7,"work":{"s-1":1200},"later":true}"""
        val expected = PeerBeacon(VmId("vm-1"), sequence = 7, work = persistentMapOf(BackendServerId("s-1") to 1_200L))
        assertEquals(expected, BeaconFormat.decode(text))
    }

    @Test
    fun `the largest reports of crashes fit one datagram`() {
        // A beacon that tells of crashes tells of no servers that leave.
        val beacon = beacon.copy(leaving = persistentListOf())
        val losses = (1..5).associate { ServerRun(Int.MIN_VALUE + it) to 59_000L }.toPersistentMap()
        val reports = (1..6).map { CrashReport(ContentKey.ofContent(-1L - it), position = 3, losses, 59_000, 59_000) }
        val beacons = listOf(
            beacon.copy(crashes = reports.toPersistentList(), storeReadMillisecondsAgo = null),
            beacon.copy(crashes = reports.drop(1).toPersistentList()),
        )
        for (one in beacons) {
            val bytes = BeaconFormat.encode(one.copy(rollouts = persistentListOf()))
            assertTrue(bytes.length < 1_200, "${bytes.length} bytes with ${one.crashes.size} reports")
        }
    }

    @Test
    fun `the largest reports of servers that leave fit one datagram`() {
        val servers = (10..40).map { BackendServerId("i-d17a8a$it") }
        val leaving = servers.take(6).map { LeavingReport(it, startedAt = 1_796_405_000_000, sequence = 99_999) }
        val full = beacon.copy(
            work = servers.take(24).associateWith { 9_999L }.toPersistentMap(),
            durations = servers.take(8).associateWith { 170 }.toPersistentMap(),
            rollouts = persistentListOf(),
            crashes = persistentListOf(),
            leaving = leaving.toPersistentList(),
        )
        val bytes = BeaconFormat.encode(full)
        assertTrue(bytes.length < 1_200, "${bytes.length} bytes")
    }

    @Test
    fun `the largest reports of sessions fit one datagram beside others`() {
        val rollout = beacon.rollouts.single()
        val hashes = (1..200).map { Int.MIN_VALUE + it }.toPersistentList()
        val added = BeaconFormat.encode(
            beacon.copy(rollouts = persistentListOf(rollout.copy(oldSessions = hashes)))
        ).length - BeaconFormat.encode(beacon).length
        assertTrue(added < 2_600, "$added bytes")
    }

    @Test
    fun `outcomes of a router that does not compare times are read, with none compared`() {
        val outcomes = """{"answers":4,"failures":2,"logLatency":11.25}"""
        val rollout =
            """{"service":"loom","version":"v2","ageMilliseconds":1,"old":$outcomes,"new":$outcomes,"condemned":true}"""
        val decoded = BeaconFormat.decode("""{"vm":"vm-1","sequence":7,"work":{},"rollouts":[$rollout]}""")
        val expected = OutcomeSums(answers = 4, failures = 2, logLatency = 11.25)
        assertEquals(expected to expected, decoded.rollouts.single().let { it.old to it.new })
    }

    @Test
    fun `decoding text that is not a beacon fails`() {
        assertThrows<IllegalArgumentException> { BeaconFormat.decode("nothing") }
        assertThrows<IllegalArgumentException> { BeaconFormat.decode("""{"vm":"vm-1"}""") }
    }
}

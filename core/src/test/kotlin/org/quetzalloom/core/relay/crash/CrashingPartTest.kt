package org.quetzalloom.core.relay.crash

import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.relay.RelayPolicies
import org.quetzalloom.core.time.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Prompts with a part that crashes every server that begins to write an answer on it. */
class CrashingPartTest {
    private fun rig(seed: Long = 1, beaconLoss: Double = 0.0, policies: RelayPolicies = RelayPolicies()): CrashRig =
        CrashRig(routers = 7, servers = 12, seed = seed, beaconLoss = beaconLoss, policies = policies)
            .also { it.deadly += "bad" }

    /** Lets requests arrive for [milliseconds]: sound ones, and [perSecond] with the part "bad" and a sound subject. */
    private fun CrashRig.load(milliseconds: Long, perSecond: Double = 0.7) = pass(milliseconds) {
        arriveAtRandom(perSecond = 14.0) { listOf("all", "thing-${it.nextInt(20)}") }
        arriveAtRandom(perSecond = perSecond) { listOf("all", "thing-0", "bad") }
    }

    private fun CrashRig.sentLate(): Int {
        val fifth = crashes.getOrNull(4) ?: crashes.last()
        return sent.count { it.at > fifth + 3_000 && it.has("bad") }
    }

    private fun CrashRig.answeredOf(ends: List<EndedRequest>): String =
        "${ends.count { it.answered }} of ${ends.size} sound requests were answered; ${crashes.size} crashes"

    /** One part crashed 28 servers in 22 seconds, as each request with it was sent to up to three of them. */
    @Test
    fun `requests with a part that crashes servers go on to crash one server after the other`() {
        for (perSecond in listOf(0.3, 0.7, 3.0)) {
            val rig = rig().also { it.load(22_000, perSecond) }
            assertTrue(rig.sentLate() <= 3, "${rig.sentLate()} sent late, ${rig.crashes.size} crashes at $perSecond/s")
            val calm = rig.ended.filter { it.at > rig.crashes.last() + 6_000 || it.at in 12_000..15_000 }
            val sound = calm.filterNot { it.has("bad") }
            assertTrue(sound.count { it.answered } >= 0.95 * sound.size, rig.answeredOf(sound))
            val beside = sound.filter { it.has("thing-0") }
            assertTrue(beside.size >= 2 && beside.all { it.answered }, rig.answeredOf(beside))
        }
    }

    @Test
    fun `without a quarantine such requests crash servers as long as they come`() {
        val never = object : QuarantinePolicy {
            override fun isEnough(losses: Collection<Timestamp>) = false
            override fun trialDelay(losses: Int) = 0L
        }
        val rig = rig(policies = RelayPolicies(quarantine = never)).also { it.load(22_000) }
        assertTrue(rig.sentLate() > 3, "${rig.sentLate()} sent late, ${rig.crashes.size} crashes")
    }

    @Test
    fun `routers learn of a crashing part from one another though beacons are lost`() {
        val rig = rig(beaconLoss = 0.3).also { it.load(22_000) }
        assertTrue(rig.crashes.size <= 6, "${rig.crashes.size} crashes")
    }

    @Test
    fun `in a large fleet all routers learn of it within a second`() {
        val rig = CrashRig(routers = 60, servers = 30, seed = 3).also { it.deadly += "bad" }
        rig.load(4_000, perSecond = 2.0)
        val quarantinedAt = rig.lines.filter { "content_quarantined" in it && "content=part:bad" in it }
            .map { it.substringBefore(' ').toLong() }
        assertEquals(60, quarantinedAt.size)
        assertTrue(quarantinedAt.max() - quarantinedAt.min() <= 1_000, "$quarantinedAt")
    }

    @Test
    fun `routers that do not hear one another each let servers crash`() {
        val rig = rig()
        rig.tamper = { it.copy(crashes = persistentListOf()) }
        rig.load(22_000)
        assertTrue(rig.crashes.size > 6, "${rig.crashes.size} crashes")
    }

    @Test
    fun `a router that has just started learns of a crashing part from the others`() {
        val rig = rig().also { it.load(5_000) }
        val crashes = rig.crashes.size
        rig.restart(3)
        rig.pass(500)
        repeat(5) { rig.arrive(3, "all", "thing-0", "bad") }
        rig.pass(3_000)
        assertEquals(crashes, rig.crashes.size)
    }

    @Test
    fun `a quarantined request is refused as not run, and one that may have run is not`() {
        val rig = rig().also { it.load(5_000, perSecond = 10.0) }
        val refusals = rig.ended.filter { it.has("bad") }.mapNotNull { it.refusal }
        assertTrue(refusals.any { it.kind == ErrorKind.BACKEND_FAILED })
        val sent = rig.sent.map { it.request.callerId }.toSet()
        val notRun = rig.ended.filter { it.refusal?.kind == ErrorKind.CONTENT_QUARANTINED }
        assertTrue(notRun.isNotEmpty())
        assertTrue(
            notRun.none { it.request.callerId in sent },
            "a refusal says that a request that was sent has not run"
        )
        assertTrue(notRun.all { (it.refusal?.retryAfterMilliseconds ?: 0) >= 1_000 })
    }

    /** The part beside it was lost once more, with a server that crashed by itself, and so had the most losses. */
    @Test
    fun `a part that is always beside the crashing one takes its place in quarantine`() {
        val rig = rig()
        rig.arrive(0, "all", "thing-0", "bad")
        rig.pass(5_000)
        rig.arrive(1, "all", "thing-0")
        rig.crash(rig.sent.last().server)
        rig.arrive(2, "all", "thing-0", "bad")
        rig.pass(3_000)
        assertEquals(3, rig.crashes.size)
        assertTrue(rig.ended.last { !it.has("bad") }.answered)
        assertEquals(emptyList(), rig.lines.filter { "content_released" in it })
    }

    /** The same request came again at any router, and each time was sent to up to three servers. */
    @Test
    fun `a request that comes again crashes one server after the other`() {
        val rig = rig().also { it.deadlyContent += -7L }
        rig.pass(22_000) {
            rig.arriveAtRandom(perSecond = 14.0) { listOf("all", "thing-${it.nextInt(20)}") }
            if (rig.elapsed % 1_000 == 0L) rig.arrive((rig.elapsed / 1_000 % 7).toInt(), "all", "thing-0", content = -7)
        }
        val third = rig.crashes[2]
        val late = rig.sent.count { it.at > third + 3_000 && it.request.contentHash == -7L }
        assertTrue(late <= 3, "$late sent late, ${rig.crashes.size} crashes")
        val sound = rig.ended.filter { it.at > third + 6_000 && it.has("thing-0") && it.request.contentHash != -7L }
        assertTrue(sound.size >= 3 && sound.all { it.answered }, rig.answeredOf(sound))
    }

    @Test
    fun `a part that has become harmless is released after one trial`() {
        val rig = rig().also { it.load(5_000) }
        val crashes = rig.crashes.size
        val before = rig.sent.count { it.has("bad") }
        rig.deadly.clear()
        rig.load(10_000)
        assertEquals(before, rig.sent.count { it.has("bad") })
        rig.load(90_000)
        assertEquals(crashes, rig.crashes.size)
        val last = rig.ended.filter { it.has("bad") }.takeLast(10)
        assertTrue(last.all { it.answered }, rig.answeredOf(last))
        assertEquals(1, rig.lines.count { "content_trial" in it })
    }

    @Test
    fun `trials of a part that still crashes servers become rare`() {
        val rig = rig().also { it.load(200_000) }
        val trials = rig.lines.filter { "content_trial" in it }
        assertTrue(trials.size in 1..3, "trials: $trials")
        assertTrue(rig.sentLate() <= 3, "${rig.sentLate()} sent late")
    }
}

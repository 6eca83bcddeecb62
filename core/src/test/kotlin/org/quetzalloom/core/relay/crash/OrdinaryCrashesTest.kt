package org.quetzalloom.core.relay.crash

import org.quetzalloom.core.error.ErrorKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Servers that crash for other reasons than a request, with requests of popular and of rare parts in flight. */
class OrdinaryCrashesTest {
    private fun CrashRig.load(milliseconds: Long) = pass(milliseconds) {
        arriveAtRandom(perSecond = 30.0) { listOf("all", "thing-${it.nextInt(150)}") }
        arriveAtRandom(perSecond = 10.0) { listOf("some-${it.nextInt(4)}", "rare-${it.nextInt(400)}") }
    }

    private fun CrashRig.assertNothingQuarantined() {
        assertEquals(emptyList(), lines.filter { "content_quarantined" in it })
        assertTrue(ended.none { it.refusal?.kind == ErrorKind.CONTENT_QUARANTINED })
    }

    @Test
    fun `a zone that fails quarantines nothing`() {
        for (seed in 1L..10L) {
            val rig = CrashRig(routers = 7, servers = 12, seed = seed)
            rig.load(2_000)
            rig.crashServers(0, 3, 6, 9)
            rig.load(8_000)
            rig.assertNothingQuarantined()
        }
    }

    @Test
    fun `servers that crash in turn, each several times, quarantine nothing`() {
        for (seed in 1L..10L) {
            val rig = CrashRig(routers = 7, servers = 12, seed = seed)
            repeat(10) {
                rig.load(700)
                rig.crashServers(it % 4, 4 + it % 3)
            }
            rig.load(4_000)
            rig.assertNothingQuarantined()
        }
    }

    @Test
    fun `all servers crash, and come back at once`() {
        val rig = CrashRig(routers = 7, servers = 12, seed = 1)
        rig.load(2_000)
        rig.crashServers(*(0..11).toList().toIntArray())
        rig.load(8_000)
        rig.assertNothingQuarantined()
        val late = rig.ended.filter { it.at > 8_000 }
        assertTrue(late.isNotEmpty() && late.all { it.answered })
    }
}

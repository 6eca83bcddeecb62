package org.quetzalloom.core.relay

import org.quetzalloom.core.error.ErrorKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** A router whose ticks failed served requests by what it had last known, until someone restarted it. */
class FailingTicksTest {
    private fun List<RelayEffect>.logged(name: String): Int =
        filterIsInstance<RelayEffect.Report>().count { it.entry.name == name }

    @Test
    fun `a router whose ticks fail for a second is not ready and ends its process`() {
        val rig = RelayRig().start()
        rig.pass(100)
        assertEquals(emptyList(), rig.passWithFailingTicks(SHORT))
        val effects = rig.passWithFailingTicks(LONG - SHORT)
        assertFalse(effects.only<RelayEffect.SetReady>().ready)
        assertTrue(effects.only<RelayEffect.Finish>().failed)
        assertEquals(1, effects.logged("ticks_failing"))
        assertEquals(emptyList(), rig.passWithFailingTicks(LONG))
    }

    @Test
    fun `a router that ends because of failing ticks sends no new request and answers those in progress`() {
        val rig = RelayRig().start()
        rig.pass(100)
        val (sent, effects) = rig.arrive(RelayRig.command.copy(timeLeftMilliseconds = 20_000))
        effects.only<RelayEffect.Send>()
        val finish = rig.passWithFailingTicks(LONG).only<RelayEffect.Finish>()
        val (late, lateEffects) = rig.arrive(RelayRig.read)
        val refusal = lateEffects.only<RelayEffect.Refuse>()
        assertEquals(late to ErrorKind.SHUTTING_DOWN, refusal.exchange to refusal.kind)
        val answers = rig.passWithFailingTicks(finish.withinMilliseconds)
        assertEquals(sent, answers.only<RelayEffect.Refuse>().exchange)
        assertEquals(0, rig.state.activeExchanges)
    }

    @Test
    fun `ticks that fail now and then have no consequence`() {
        val rig = RelayRig().start()
        rig.pass(100)
        repeat(10) {
            val failing = rig.passWithFailingTicks(SHORT)
            val sound = rig.pass(RelayRig.TICK)
            assertTrue((failing + sound).none<RelayEffect.Finish>())
            assertEquals(1, sound.logged("ticks_regained"))
        }
        val (_, effects) = rig.arrive(RelayRig.read)
        effects.only<RelayEffect.Send>()
    }

    /** Between the two, the process did not run. */
    @Test
    fun `a tick that fails before a pause and one after it are no series`() {
        val rig = RelayRig().start()
        rig.pass(100)
        rig.on(RelayEvent.TickFailed)
        rig.pause(LONG * 5)
        assertEquals(emptyList(), rig.on(RelayEvent.TickFailed))
    }

    @Test
    fun `a process that is about to end after a stop is not ended again`() {
        val rig = RelayRig().start()
        rig.on(RelayEvent.StopRequested)
        assertFalse(rig.pass(5_000).only<RelayEffect.Finish>().failed)
        assertEquals(emptyList(), rig.passWithFailingTicks(LONG))
    }

    private companion object {
        const val SHORT = 900L
        const val LONG = 1_100L
    }
}

package org.quetzalloom.core.relay.server

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** How long work takes at a server is learned from reports in which others on its machine disturb it at times. */
class WorkDurationTest {
    private fun learn(percents: List<Int>): Double? =
        percents.fold(WorkDuration()) { duration, percent -> duration.record(percent) }.factor

    @Test
    fun `brief disturbances are left out`() {
        val factor = learn((1..200).map { if (it % 7 == 0) 175 else 70 })
        assertTrue(factor != null && factor in 0.7..0.8, "$factor")
    }

    @Test
    fun `a server that stays slower is known to be so`() {
        val factor = learn(List(50) { 70 } + List(100) { 170 })
        assertTrue(factor != null && factor > 1.5, "$factor")
    }

    @Test
    fun `reports out of range are ignored`() {
        assertEquals(null, learn(listOf(0, -70, Int.MAX_VALUE, Int.MIN_VALUE)))
    }
}

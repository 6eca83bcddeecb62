package org.quetzalloom.runtime

import org.junit.jupiter.api.Test
import org.quetzalloom.core.time.Timestamp
import kotlin.test.assertEquals

class PauseDetectorTest {
    private var monotonic = Timestamp(0)
    private var timeOfDay = Timestamp(1_000_000)
    private val detector = PauseDetector({ monotonic }, { timeOfDay })

    private fun pass(milliseconds: Long, timeOfDayMilliseconds: Long = milliseconds): Long {
        monotonic += milliseconds
        timeOfDay += timeOfDayMilliseconds
        return detector.pauseMilliseconds()
    }

    @Test
    fun `a suspension that the monotonic clock does not count is reported once`() {
        assertEquals(0, pass(20))
        assertEquals(4_000, pass(20, timeOfDayMilliseconds = 4_020))
        assertEquals(0, pass(20))
    }

    @Test
    fun `a pause that both clocks count, slow adjustments and steps back are not reported`() {
        assertEquals(0, pass(4_000))
        repeat(100) { assertEquals(0, pass(20, timeOfDayMilliseconds = 30)) }
        assertEquals(0, pass(20, timeOfDayMilliseconds = -2_000))
    }
}

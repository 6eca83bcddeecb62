package org.quetzalloom.runtime

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.StressOptions
import kotlin.test.Test
import kotlin.test.assertEquals

/** Concurrent puts and takes must be linearizable: they behave as if they were done one after the other. */
class InboxTest {
    private val inbox = Inbox<Int>()

    @Operation
    fun put(item: Int) = inbox.put(item)

    @Operation
    fun takeAll(): List<Int> = inbox.takeAll()

    @Test
    fun modelChecking() = ModelCheckingOptions().iterations(
        30
    ).invocationsPerIteration(500).check(InboxTest::class.java)

    @Test
    fun stress() = StressOptions().iterations(30).invocationsPerIteration(500).check(InboxTest::class.java)

    @Test
    fun itemsComeInTheOrderInWhichTheyWerePut() {
        val fresh = Inbox<Int>()
        (1..100).forEach { fresh.put(it) }
        assertEquals((1..100).toList(), fresh.takeAll().toList())
    }

    @Test
    fun aReaderThatWaitsIsWoken() {
        val fresh = Inbox<Int>()
        val writer = Thread { fresh.put(7) }
        writer.start()
        val taken = generateSequence { fresh.takeAllWithin(milliseconds = 60_000) }.first { it.isNotEmpty() }
        writer.join()
        assertEquals(listOf(7), taken.toList())
    }
}

package org.quetzalloom.relay.http

import kotlin.test.Test
import kotlin.test.assertEquals

/** The first half of a response to a call passed for the whole when its connection was reset during the request. */
class CallClientTest {
    @Test
    fun `a response without a length that is reset while the request is being sent is a failure`() {
        TestCalls(respondBeforeBody = true) {
            it.write("HTTP/1.1 200 OK\r\n\r\nhalf of")
            Thread.sleep(BEFORE_RESET_MILLISECONDS)
            it.reset()
        }.use { calls ->
            val outcome = calls.call("/append", bodyBytes = TestCalls.LARGE_BODY_BYTES).single()
            assertEquals("problem: the request could not be sent", outcome.substringBefore(": java"))
        }
    }

    @Test
    fun `a response without a length that ends in order is whole`() {
        TestCalls {
            it.write("HTTP/1.1 200 OK\r\n\r\nall of it")
            it.close()
        }.use { calls -> assertEquals(listOf("all of it"), calls.call("/append")) }
    }

    private companion object {
        const val BEFORE_RESET_MILLISECONDS = 100L
    }
}

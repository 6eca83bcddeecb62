package org.quetzalloom.relay.http

import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The next call on a connection got a second copy of the response to the call before it. */
class SurplusCallResponsesTest {
    private val copy = TestCalls.withLength("first")

    @Test
    fun `a copy that arrives with a response is not taken for the response to the next call`() {
        val outcomes = (1..copy.length).associateWith { received -> callTwice(received) }
        assertEquals(emptyMap(), outcomes.filterValues { it != listOf("first", "second") })
    }

    /** Returns the bodies of two calls; [received] bytes of a copy come with the first response, the rest after it. */
    private fun callTwice(received: Int): List<String> {
        lateinit var calls: TestCalls
        calls = TestCalls {
            val isFirst = "/first" in it.requestLine
            when {
                isFirst -> it.write(copy + copy.take(received))
                calls.server.acceptedConnections == 1 -> it.write(copy.drop(received) + TestCalls.withLength("second"))
                else -> it.write(TestCalls.withLength("second"))
            }
        }
        return calls.use { it.call("/first", "/second") }
    }

    @Test
    fun `a response that begins in the body of another is not taken for its rest`() {
        TestCalls {
            it.write("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nfirst half")
            Thread.sleep(BEFORE_SECOND_RESPONSE_MILLISECONDS)
            it.write(TestCalls.withLength("the second response"))
        }.use { assertTrue(it.call("/read").single().startsWith("problem: ")) }
    }

    @Test
    fun `bytes that arrive on an idle connection close it`() {
        listOf(copy, copy.take(4), copy.dropLast(1), "no response").forEach { bytes ->
            val closed = CompletableFuture<Boolean>()
            TestCalls {
                it.write(copy)
                Thread.sleep(IDLE_MILLISECONDS)
                it.write(bytes)
                closed.complete(it.awaitClose(CLOSE_TIMEOUT_MILLISECONDS))
            }.use { calls ->
                assertEquals(listOf("first"), calls.call("/first"))
                assertTrue(closed.get(), bytes)
            }
        }
    }

    @Test
    fun `a connection whose request was not sent in full before the response is not reused`() {
        TestCalls(respondBeforeBody = true) { it.write(copy) }.use { calls ->
            assertEquals(listOf("first"), calls.call("/first", bodyBytes = TestCalls.LARGE_BODY_BYTES))
            assertEquals(listOf("first"), calls.call("/first"))
            assertEquals(2, calls.server.acceptedConnections)
        }
    }

    @Test
    fun `a connection is reused after a whole response, also by the listener`() {
        listOf(copy, TestCalls.inChunks("first")).forEach { response ->
            TestCalls { it.write(response) }.use { calls ->
                assertEquals(List(3) { "first" }, calls.call("/first", "/first", "/first"))
                assertEquals(1, calls.server.acceptedConnections)
            }
        }
    }

    private companion object {
        const val BEFORE_SECOND_RESPONSE_MILLISECONDS = 25L
        const val IDLE_MILLISECONDS = 50L
        const val CLOSE_TIMEOUT_MILLISECONDS = 1_000
    }
}

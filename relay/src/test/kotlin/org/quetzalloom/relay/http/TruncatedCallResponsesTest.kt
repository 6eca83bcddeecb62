package org.quetzalloom.relay.http

import org.quetzalloom.standins.scripted.ScriptedRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A server stopped in the middle of its response to a call, and callers got status 200 with an empty or short body. */
class TruncatedCallResponsesTest {
    private val responses = listOf(TestCalls.withLength("records"), TestCalls.inChunks("records"))

    /** Returns the truncated responses that counted as whole, of all truncations of all responses. */
    private fun acceptedTruncations(end: (ScriptedRequest) -> Unit): List<String> =
        responses.flatMap { response ->
            val truncations = response.indices.map { response.take(it) }
            val remaining = ArrayDeque(truncations)
            TestCalls {
                it.write(remaining.removeFirst())
                end(it)
            }.use { calls -> truncations.filter { !calls.call("/read").single().startsWith("problem: ") } }
        }

    @Test
    fun `a response that ends with its connection before it is whole is a failure`() {
        assertEquals(emptyList(), acceptedTruncations { it.close() })
    }

    @Test
    fun `a response that is reset before it is whole is a failure`() {
        assertEquals(emptyList(), acceptedTruncations { it.reset() })
    }

    @Test
    fun `a response that cannot be decoded is a failure`() {
        val head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        val malformed = listOf(
            "HTTP/1.1 2oo OK\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 7, 8\r\n\r\nrecords",
            "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\nrecords",
            "HTTP/1.1 200 OK\r\n: 7\r\nContent-Length: 7\r\n\r\nrecords",
            "${head}seven\r\nrecords\r\n0\r\n\r\n",
            "${head}7\r\nrecords\r\n0\r\n: 1\r\n\r\n",
        )
        val remaining = ArrayDeque(malformed)
        TestCalls { it.write(remaining.removeFirst()) }.use { calls ->
            assertEquals(emptyList(), malformed.filter { !calls.call("/read").single().startsWith("problem: ") })
        }
    }

    @Test
    fun `a response without a length that is reset is a failure`() {
        TestCalls {
            it.write("HTTP/1.1 200 OK\r\n\r\nhalf of")
            Thread.sleep(BEFORE_RESET_MILLISECONDS)
            it.reset()
        }.use { calls -> assertTrue(calls.call("/read").single().startsWith("problem: ")) }
    }

    @Test
    fun `a response without a length that ends while the request is being sent is a failure`() {
        TestCalls(respondBeforeBody = true) {
            it.write("HTTP/1.1 200 OK\r\n\r\nhalf of")
            it.endOutput()
            Thread.sleep(BEFORE_RESET_MILLISECONDS)
            it.reset()
        }.use { calls ->
            val outcome = calls.call("/append", bodyBytes = TestCalls.LARGE_BODY_BYTES).single()
            assertTrue(outcome.startsWith("problem: "), outcome)
        }
    }

    @Test
    fun `whole responses of all framings pass`() {
        val sound = responses + listOf(
            "HTTP/1.1 200 OK\r\nDate: today\r\nX-Other: 1\r\nContent-Length: 7\r\n\r\nrecords",
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nrecords",
            "HTTP/1.0 200 OK\r\n\r\nrecords",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7;name=value\r\nrecords\r\n0\r\n\r\n",
        )
        sound.forEach { response ->
            TestCalls {
                it.write(response)
                if ("Content-Length" !in response && "chunked" !in response) it.close()
            }.use { calls -> assertEquals(listOf("records"), calls.call("/read"), response) }
        }
    }

    /** The interim response was taken for the response, which has another status and a body. */
    @Test
    fun `interim responses are skipped`() {
        val interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"
        TestCalls { it.write(interim + TestCalls.withLength("records")) }.use { calls ->
            assertEquals(listOf("records", "records"), calls.call("/read", "/read"))
            assertEquals(1, calls.server.acceptedConnections)
        }
    }

    private companion object {
        const val BEFORE_RESET_MILLISECONDS = 100L
    }
}

package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A caller that resumed a stream after an event got the events up to it again. */
class CallerResumesStreamTest {
    private val draft =
        "POST /draft/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nLast-Event-Id: 2\r\nConnection: close\r\n\r\n"
    private val attempts = AtomicInteger()

    /** Answers the first attempts by the events with the ids [first], and others by those after the resumed one. */
    private fun relay(vararg first: List<Int>): TestRelay {
        val script: (ScriptedRequest) -> Unit = {
            assertEquals("2", it.headers["last-event-id"])
            val ids = first.getOrNull(attempts.getAndIncrement()) ?: listOf(3, 4)
            val headers = mapOf("Id" to "a", "Content-Type" to "text/event-stream")
            it.respond("200 OK", headers, ids.joinToString("") { id -> "id: $id\ndata: $id\n\n" })
        }
        return TestRelay(script, script, script)
    }

    private fun assertContinued(attempts: Int, vararg first: List<Int>) {
        val received = relay(*first).use { ReceivedStream.parse(it.exchange(draft)) }
        assertEquals(listOf("3", "4") to true, received.values("id") to received.complete)
        assertEquals(attempts, this.attempts.get())
    }

    @Test
    fun `a stream that continues is forwarded`() = assertContinued(attempts = 1)

    @Test
    fun `a stream that begins again is replaced by that of another server`() =
        assertContinued(attempts = 2, listOf(1, 2, 3, 4))

    @Test
    fun `a stream that repeats the last event is replaced by that of another server`() =
        assertContinued(attempts = 2, listOf(2, 3, 4))

    @Test
    fun `a stream that begins again at each server is not forwarded`() {
        val response = relay(listOf(1, 2, 3), listOf(1, 2), listOf(1)).use { it.exchange(draft) }
        assertTrue(response.startsWith("HTTP/1.1 502 "), response)
    }

    @Test
    fun `a stream that is not resumable may begin again`() {
        val request = draft.replace("/draft/", "/note/")
        val received = relay(listOf(1, 2, 3)).use { ReceivedStream.parse(it.exchange(request)) }
        assertEquals(listOf("1", "2", "3") to true, received.values("id") to received.complete)
    }
}

package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals

/** Events whose ids went back within one response, or that came twice, were forwarded. */
class EventIdsTest {
    private val draft = "POST /draft/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n\r\n"
    private val note = draft.replace("/draft/", "/note/")
    private val attempts = AtomicInteger()

    private fun events(ids: List<Int>) = ids.map { "id: $it\ndata: $it\n\n" }

    private fun ScriptedRequest.writeStream(pieces: List<String>) {
        write("HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        pieces.forEach { writeChunk(it) }
        write("0\r\n\r\n")
    }

    /** Answers the first attempts by [first], one after the other, and completes the stream up to the event 4 then. */
    private fun receive(request: String, vararg first: List<String>): ReceivedStream {
        val script: (ScriptedRequest) -> Unit = {
            val after = it.headers["last-event-id"]?.toInt() ?: 0
            it.writeStream(first.getOrNull(attempts.getAndIncrement()) ?: events((after + 1..LAST_ID).toList()))
        }
        return TestRelay(script, script, script).use { ReceivedStream.parse(it.exchange(request)) }
    }

    private fun assertResumed(vararg first: List<String>) {
        val received = receive(draft, *first)
        assertEquals(listOf("1", "2", "3", "4") to true, received.values("data") to received.complete)
        assertEquals(first.size + 1, attempts.get())
    }

    @Test
    fun `a stream whose ids go back in one read resumes on another server`() =
        assertResumed(listOf(events(listOf(1, 2, 1, 3)).joinToString("")))

    @Test
    fun `a stream whose ids go back in a later read resumes on another server`() =
        assertResumed(events(listOf(1, 2, 1, 3)))

    @Test
    fun `a stream that repeats an event resumes on another server`() = assertResumed(events(listOf(1, 2, 2, 3, 4)))

    @Test
    fun `a resumed stream whose ids go back resumes on another server`() =
        assertResumed(events(listOf(1, 1)), events(listOf(2, 3, 2, 4)))

    @Test
    fun `a stream whose ids go back and that is not resumable does not look complete`() {
        val received = receive(note, events(listOf(1, 2, 1, 3)))
        assertEquals(listOf("1", "2") to false, received.values("data") to received.complete)
    }

    @Test
    fun `events without ids are forwarded between others`() {
        val pieces = listOf(":begin\n\n", "id: 1\ndata: 1\n\n", "data: 2\n\n:\n\nretry: 10\n\n", "id: 3\ndata: 3\n\n")
        assertEquals(ReceivedStream(pieces.joinToString(""), complete = true), receive(note, pieces))
    }

    @Test
    fun `a stream without ids is forwarded`() {
        val pieces = listOf("data: 1\n\n", "data: 1\n\nid:\ndata: 1\n\n", "id:\ndata: 1\n\n")
        assertEquals(ReceivedStream(pieces.joinToString(""), complete = true), receive(note, pieces))
    }

    @Test
    fun `ids are compared as numbers, and others only with the one before`() {
        val ids = listOf("9", "10", "b", "a", "a-1", "b")
        val pieces = ids.map { "id: $it\ndata: $it\n\n" }
        assertEquals(ReceivedStream(pieces.joinToString(""), complete = true), receive(note, pieces))
    }

    private companion object {
        const val LAST_ID = 4
    }
}

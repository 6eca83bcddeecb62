package org.quetzalloom.daemon.client

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.TestInstance
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.log.LogStream
import org.quetzalloom.standins.scripted.ScriptedServer
import kotlin.test.Test
import kotlin.test.assertEquals

/** Calls to the platform, and load reports, whose responses are cut off or joined with another one. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class PlatformResponsesTest {
    private val clients = RecordedClients()
    private val second = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno"
    private val read = Effect.OfPlatform.Read(LogStream.CONFIGURATION, from = 0)
    private val append = Effect.OfPlatform.Append(7, LogStream.CONFIGURATION, stamp = 0, persistentListOf())
    private val ratings = Effect.OfPlatform.ReadRatings(from = 0)

    @AfterAll
    fun close() = clients.close()

    private fun withLength(body: String) =
        "HTTP/1.1 200 OK\r\nDate: today\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private fun inChunks(body: String) = "HTTP/1.1 200 OK\r\nDate: today\r\nTransfer-Encoding: chunked\r\n\r\n" +
        "${body.length.toString(16)}\r\n$body\r\n0\r\n\r\n"

    /** Checks that each cut response to [effect] fails the call; the end of a chunked one may be missing. */
    private fun check(effect: Effect.OfPlatform, failure: Event, body: String, whole: Event) {
        for (response in listOf(withLength(body), inChunks(body))) {
            for (next in listOf("", second)) {
                CutResponses.check(response, next, call = { clients.callPlatform(it, effect) }) {
                    it == failure || (response == inChunks(body) && it == whole)
                }
            }
        }
    }

    @Test
    fun `half a read of the log fails`() = check(
        effect = read,
        failure = Event.OfPlatform.LogReadFailed(LogStream.CONFIGURATION),
        body = """{"entries":[],"next":5,"earliest":0}""",
        whole = Event.OfPlatform.LogRead(LogStream.CONFIGURATION, persistentListOf(), next = 5, earliest = 0),
    )

    @Test
    fun `an append without a whole response fails`() = check(
        effect = append,
        failure = Event.OfPlatform.LogAppendFailed(7),
        body = """{"offset":5}""",
        whole = Event.OfPlatform.LogAppended(7),
    )

    @Test
    fun `half a list of VMs fails`() = check(
        effect = Effect.OfPlatform.ListVms,
        failure = Event.OfPlatform.PlatformCallFailed("vms"),
        body = """{"vms":[]}""",
        whole = Event.OfPlatform.VmsListed(persistentListOf()),
    )

    @Test
    fun `half a list of ratings fails`() = check(
        effect = ratings,
        failure = Event.OfPlatform.PlatformCallFailed("ratings"),
        body = """{"ratings":[],"next":5}""",
        whole = Event.OfPlatform.RatingsRead(persistentListOf(), next = 5),
    )

    @Test
    fun `an append that is answered with an empty success fails`() {
        ScriptedServer { it.respond("200 OK", headers = emptyMap(), body = "") }.start().use { server ->
            assertEquals(Event.OfPlatform.LogAppendFailed(7), clients.callPlatform(server.port, append)())
        }
    }

    @Test
    fun `half a load report fails`() {
        val response = withLength("""{"start":"s","running":3,"up_for_milliseconds":55}""")
        for (next in listOf("", second)) {
            CutResponses.check(response, next, call = { clients.requestLoad(it) }) {
                it == Event.OfBackend.LoadReportFailed(BackendServerId("server"))
            }
        }
    }
}

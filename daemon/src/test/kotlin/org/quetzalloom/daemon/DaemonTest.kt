package org.quetzalloom.daemon

import com.github.michaelbull.result.get
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.TestInstance
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.caller.CallerHeaders
import org.quetzalloom.wire.caller.ErrorResponse
import org.quetzalloom.wire.site.Site
import java.net.http.HttpResponse
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/** Sends requests to one router, which runs in the test's process with stand-ins for everything around it. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class DaemonTest {
    private val testSite = TestSite()
    private val port = testSite.vmPorts.first()
    private val site = assertNotNull(Site.load(listOf(testSite.file)).get())
    private val daemon = Daemon(assertNotNull(DaemonSettings.of(site, "vm-1", incarnation = "test").get()))
    private val runner = Thread { runBlocking { daemon.run() } }

    @BeforeAll
    fun start() {
        runner.start()
        testSite.publish(site.configuration)
        testSite.awaitReady(port)
    }

    @AfterAll
    fun stop() {
        daemon.requestShutdown()
        runner.join()
        testSite.stop()
    }

    private fun chat(body: String, vararg headers: Pair<String, String>): HttpResponse<String> =
        TestSite.post("http://127.0.0.1:$port/v1/chat/completions", body, *headers)

    /** Checks that [response] reports an error of [kind], and that the engine has generated nothing. */
    private fun assertError(response: HttpResponse<String>, kind: ErrorKind) {
        val error = WireFormat.decodeFromString<ErrorResponse>(response.body()).error
        assertEquals(kind.code, error.code, response.body())
        assertEquals(kind.status, response.statusCode())
        assertEquals(kind.notRun, error.notRun)
        assertEquals(
            "{}",
            testSite.engineStatistics().substringAfter("\"generations\":", "{}").substringBefore("}") + "}",
        )
    }

    @Test
    fun malformedJson() = assertError(chat("{", workspaceHeader), ErrorKind.MALFORMED)

    @Test
    fun missingWorkspace() = assertError(chat(REQUEST), ErrorKind.MALFORMED)

    @Test
    fun unknownWorkspace() =
        assertError(chat(REQUEST, CallerHeaders.WORKSPACE to "nobody"), ErrorKind.UNKNOWN_WORKSPACE)

    @Test
    fun unknownModel() = assertError(chat(REQUEST.replace("\"m\"", "\"x\""), workspaceHeader), ErrorKind.UNKNOWN_TARGET)

    @Test
    fun versionNotAllowed() =
        assertError(chat(REQUEST.replace("\"m\"", "\"secret@1\""), workspaceHeader), ErrorKind.NOT_ALLOWED)

    @Test
    fun oversizedBody() =
        assertError(chat(REQUEST.replace("hello", "x".repeat(5_000)), workspaceHeader), ErrorKind.TOO_LARGE)

    @Test
    fun wrongPriority() =
        assertError(chat(REQUEST, workspaceHeader, CallerHeaders.PRIORITY to "urgent"), ErrorKind.MALFORMED)

    @Test
    fun wrongTimeout() = assertError(chat(REQUEST, workspaceHeader, CallerHeaders.TIMEOUT to "-1"), ErrorKind.MALFORMED)

    @Test
    fun commandWithoutAKey() {
        val response = TestSite.post("http://127.0.0.1:$port/ovens/start", "{}", workspaceHeader)
        assertError(response, ErrorKind.KEY_MISSING)
    }

    @Test
    fun unknownPath() =
        assertError(TestSite.post("http://127.0.0.1:$port/fridges", "{}", workspaceHeader), ErrorKind.UNKNOWN_TARGET)

    @Test
    fun commandsRunOnceAndResendsAreAnswered() {
        fun send() =
            TestSite.post("http://127.0.0.1:$port/ovens/start", "{}", workspaceHeader, CallerHeaders.KEY to "k-1")
        val answers = listOf(send(), send(), send()).map { it.body() }
        assertEquals(1, answers.toSet().size)
        assertEquals(1, testSite.executedCalls().entries.count { it.scope == "bakery/k-1" })
    }

    @Test
    fun healthMetricsAndStatus() {
        assertEquals(200, TestSite.get("http://127.0.0.1:$port/healthz").statusCode())
        assertContains(TestSite.get("http://127.0.0.1:$port/metrics").body(), "quetzalloom_configuration_revision 1")
        assertContains(TestSite.get("http://127.0.0.1:$port/admin/status").body(), "\"ready\":true")
        assertContains(TestSite.get("http://127.0.0.1:$port/admin/timeline").body(), "configuration_in_force")
    }

    private companion object {
        val workspaceHeader = CallerHeaders.WORKSPACE to "bakery"
        const val REQUEST = """{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":12}"""
    }
}

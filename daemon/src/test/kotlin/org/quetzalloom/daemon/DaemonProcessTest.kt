package org.quetzalloom.daemon

import com.github.michaelbull.result.get
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.quetzalloom.standins.engine.AnswerText
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.caller.CallerHeaders
import org.quetzalloom.wire.caller.ChatResponse
import org.quetzalloom.wire.site.Site
import java.io.File
import java.io.IOException
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.io.path.createTempDirectory
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/**
 * Starts two router processes and stops, kills or freezes one of them while it handles requests: a stop must not
 * interrupt answers, and no command may run twice when it is sent again to the other VM.
 */
class DaemonProcessTest {
    private val site = TestSite()
    private val directory = createTempDirectory().toFile()
    private val settings = File(directory, "site.toml").apply { writeText(site.file.text) }
    private val processes = mutableMapOf<String, Process>()

    @BeforeEach
    fun start() {
        listOf("vm-1", "vm-2").forEach { startVm(it) }
        site.publish(assertNotNull(Site.load(listOf(site.file)).get()).configuration)
        site.vmPorts.forEach { site.awaitReady(it) }
    }

    @AfterEach
    fun stop() {
        processes.values.forEach { it.destroyForcibly().waitFor() }
        site.stop()
        directory.deleteRecursively()
    }

    private fun startVm(vm: String) {
        val command = listOf(
            "${System.getProperty("java.home")}/bin/java",
            "-Xmx256m",
            "-cp",
            System.getProperty("java.class.path"),
            "org.quetzalloom.daemon.MainKt",
            "--settings",
            settings.path,
            "--vm",
            vm,
        )
        val output = File(directory, "$vm.log")
        processes[vm] = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output).start()
    }

    private fun signal(vm: String, name: String) {
        val pid = processes.getValue(vm).pid()
        assertEquals(0, ProcessBuilder("kill", "-$name", "$pid").start().waitFor())
    }

    private fun complete(port: Int, prompt: String, tokens: Int): CompletableFuture<HttpResponse<String>> =
        CompletableFuture.supplyAsync {
            val body = """{"model":"m","messages":[{"role":"user","content":"$prompt"}],"max_tokens":$tokens}"""
            TestSite.post("http://127.0.0.1:$port/v1/chat/completions", body, workspaceHeader)
        }

    private fun command(port: Int, key: String): CompletableFuture<HttpResponse<String>?> =
        CompletableFuture.supplyAsync {
            try {
                val headers = arrayOf(workspaceHeader, CallerHeaders.KEY to key, CallerHeaders.TIMEOUT to "5000")
                TestSite.post("http://127.0.0.1:$port/ovens/start", "{}", *headers)
            } catch (_: IOException) {
                null
            }
        }

    private fun isActive(port: Int): Boolean =
        "\"active\":0" !in TestSite.get("http://127.0.0.1:$port/admin/status").body()

    @Test
    fun aGracefulStopCutsNoRequest() {
        val port = site.vmPorts[0]
        val requests = (1..20).map { complete(port, "long $it", tokens = 400) }
        TestSite.await { isActive(port) }
        signal("vm-1", "TERM")
        val answers = requests.map { it.get() }
        answers.forEachIndexed { index, answer ->
            val response = WireFormat.decodeFromString<ChatResponse>(answer.body())
            val prompt = "user: long ${index + 1}"
            val expected = AnswerText.tokens("m@1", prompt, 0, AnswerText.tokenCount(prompt, 400))
            assertEquals(expected, response.choices.single().message.content)
        }
        assertTrue(processes.getValue("vm-1").waitFor(60, TimeUnit.SECONDS))
        assertEquals(0, processes.getValue("vm-1").exitValue())
        assertEquals(answers.size, site.bills().toSet().size)
    }

    @Test
    fun aKilledVmDuplicatesNoCommand() {
        val sent = (1..20).map { command(site.vmPorts[0], "k-$it") }
        TestSite.await { site.executedCalls().entries.isNotEmpty() }
        processes.getValue("vm-1").destroyForcibly().waitFor()
        sent.forEach { it.get() }
        val resent = (1..20).map { command(site.vmPorts[1], "k-$it") }.mapNotNull { it.get() }
        assertEquals(20, resent.size)
        val runs = site.executedCalls().entries.groupingBy { it.scope }.eachCount()
        assertTrue(runs.values.all { it == 1 }, "$runs")
        resent.filter { it.statusCode() != 200 }.forEach { assertContains(it.body(), "outcome_unknown") }
        assertEquals(200, command(site.vmPorts[1], "new").get()?.statusCode())
        assertEquals(1, site.executedCalls().entries.count { it.scope == "bakery/new" })
    }

    @Test
    fun aFrozenVmDuplicatesNoCommandWhenItResumes() {
        val sent = (1..20).map { command(site.vmPorts[0], "k-$it") }
        signal("vm-1", "STOP")
        val resent = (1..20).map { command(site.vmPorts[1], "k-$it") }
        TestSite.await { site.executedCalls().entries.size >= 1 }
        signal("vm-1", "CONT")
        (sent + resent).forEach { it.get() }
        val runs = site.executedCalls().entries.groupingBy { it.scope }.eachCount()
        assertEquals(20, runs.size)
        assertTrue(runs.values.all { it == 1 }, "$runs")
    }

    private companion object {
        val workspaceHeader = CallerHeaders.WORKSPACE to "bakery"
    }
}

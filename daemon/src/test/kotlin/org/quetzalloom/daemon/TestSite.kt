package org.quetzalloom.daemon

import kotlinx.serialization.encodeToString
import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.configuration.ConfigurationChange
import org.quetzalloom.core.configuration.ConfigurationRecord
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.standins.engine.EngineSettings
import org.quetzalloom.standins.engine.EngineStandIn
import org.quetzalloom.standins.fault.FaultInjectingStandIn
import org.quetzalloom.standins.http.StandIn
import org.quetzalloom.standins.http.StandInServer
import org.quetzalloom.standins.log.LogStandIn
import org.quetzalloom.standins.port.FreePorts
import org.quetzalloom.standins.ratings.RatingServiceStandIn
import org.quetzalloom.standins.service.ExecutedCalls
import org.quetzalloom.standins.service.ServiceStandIn
import org.quetzalloom.standins.vms.VmListStandIn
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.log.RecordDocument
import org.quetzalloom.wire.log.toDocument
import org.quetzalloom.wire.platform.AppendRequest
import org.quetzalloom.wire.platform.ReadResponse
import org.quetzalloom.wire.site.SiteFile
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/**
 * The stand-ins of the platform, an engine and a service, which run in the test's process on free ports, and the
 * settings of two entry VMs that use them.
 */
class TestSite {
    private val ports = List(7) { FreePorts.next() }
    val vmPorts = ports.take(2)
    private val logPort = ports[2]
    private val enginePort = ports[5]
    private val servicePort = ports[6]
    private val servers = listOf(
        serve(LogStandIn(), logPort),
        serve(VmListStandIn(), ports[3]),
        serve(RatingServiceStandIn(), ports[4]),
        serve(EngineStandIn(EngineSettings("engine", coldCapacity = 32, tokenMilliseconds = 5)), enginePort),
        serve(ServiceStandIn(startIdentity = "service"), servicePort),
    )

    val file = SiteFile(
        name = "test.toml",
        text = """
            [platform]
            log = "127.0.0.1:$logPort"
            vms = "127.0.0.1:${ports[3]}"
            ratings = "127.0.0.1:${ports[4]}"

            [fleet]
            session_secret = "secret"
            largest_body_bytes = 4096

            [[zones]]
            id = "zone-a"

            ${vmPorts.mapIndexed { index, port -> vm("vm-${index + 1}", port) }.joinToString("\n")}

            [[versions]]
            id = "m@1"
            model = "m"
            kind = "engine"
            cost_micros = 1000

            [[versions]]
            id = "secret@1"
            model = "secret"
            kind = "engine"
            cost_micros = 1000

            [[versions]]
            id = "ovens@1"
            model = "ovens"
            kind = "service"
            cost_micros = 1000

            [[workspaces]]
            id = "bakery"
            allowed = ["m@1", "ovens@1"]

            ${server("engine", enginePort, "\"m@1\", \"secret@1\"")}

            ${server("service", servicePort, "\"ovens@1\"")}

            [[services]]
            path_prefix = "/ovens/"
            model = "ovens"
            non_repeatable_methods = ["POST"]
        """.trimIndent().lines().joinToString("\n") {
            it.trim()
        },
    )

    private fun vm(id: String, port: Int) = "[[vms]]\nid = \"$id\"\nzone = \"zone-a\"\naddress = \"127.0.0.1:$port\"\n"

    private fun server(id: String, port: Int, versions: String) = """
        [[backend_servers]]
        id = "$id"
        zone = "zone-a"
        address = "127.0.0.1:$port"
        versions = [$versions]
        capacity = 32
        cold_capacity = 32
        warm_up_milliseconds = 100
    """

    private fun <S : Any> serve(standIn: StandIn<S>, port: Int) =
        StandInServer(FaultInjectingStandIn(standIn), port).start()

    /** Publishes [configuration] as the first revision by appending it to the log. */
    fun publish(configuration: Configuration) {
        val change = ConfigurationChange.Publish(configuration)
        val record = LogRecord.OfConfiguration(ConfigurationRecord.Proposed(0, "test", change))
        val request = AppendRequest(stamp = 0, records = listOf(record.toDocument()))
        post("http://127.0.0.1:$logPort/streams/configuration", WireFormat.encodeToString(request))
    }

    /** Injects the faults that [json] describes into the log. */
    fun faults(json: String) = post("http://127.0.0.1:$logPort/faults", json)

    /** Returns the calls that the service executed. */
    fun executedCalls(): ExecutedCalls = WireFormat.decodeFromString(get("http://127.0.0.1:$servicePort/books").body())

    /** Returns the statistics of the engine, as JSON. */
    fun engineStatistics(): String = get("http://127.0.0.1:$enginePort/books").body()

    /** Returns the identity of each bill in the log, duplicates included. */
    fun bills(): List<String> {
        val body = get("http://127.0.0.1:$logPort/streams/bills").body()
        return WireFormat.decodeFromString<ReadResponse>(body).entries
            .map { (it.record as RecordDocument.OfBill).bill.identity }
    }

    fun awaitReady(port: Int) = await { get("http://127.0.0.1:$port/readyz").statusCode() == 200 }

    fun stop() = servers.forEach { it.stop(0, 0) }

    companion object {
        private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

        fun get(url: String): HttpResponse<String> = send(HttpRequest.newBuilder(URI(url)).GET())

        fun post(url: String, body: String, vararg headers: Pair<String, String>): HttpResponse<String> {
            val builder = HttpRequest.newBuilder(URI(url)).POST(HttpRequest.BodyPublishers.ofString(body))
            headers.forEach { (name, value) -> builder.header(name, value) }
            return send(builder)
        }

        private fun send(builder: HttpRequest.Builder): HttpResponse<String> =
            client.send(builder.timeout(Duration.ofSeconds(60)).build(), HttpResponse.BodyHandlers.ofString())

        /**
         * Waits until [condition] holds. A condition that throws an [IOException] does not hold yet.
         *
         * @throws IllegalStateException if it does not hold within a minute.
         */
        fun await(condition: () -> Boolean) {
            val deadline = System.nanoTime() + Duration.ofSeconds(60).toNanos()
            while (!holds(condition)) {
                check(System.nanoTime() < deadline) { "the condition did not hold within a minute" }
                Thread.onSpinWait()
            }
        }

        private fun holds(condition: () -> Boolean): Boolean = try {
            condition()
        } catch (_: IOException) {
            false
        }
    }
}

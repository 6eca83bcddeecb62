package org.quetzalloom.relay

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPolicies
import org.quetzalloom.core.relay.RelaySettings
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.peer.PeerBeacon
import org.quetzalloom.core.relay.routing.BackendService
import org.quetzalloom.core.relay.routing.CallerLimits
import org.quetzalloom.core.relay.routing.Route
import org.quetzalloom.core.relay.routing.RoutingTable
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.relay.routing.Split
import org.quetzalloom.core.relay.server.ServerListing
import org.quetzalloom.relay.http.Address
import org.quetzalloom.runtime.Interpreter
import org.quetzalloom.standins.port.FreePorts
import org.quetzalloom.standins.scripted.ScriptedRequest
import org.quetzalloom.standins.scripted.ScriptedServer
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.test.assertTrue

/**
 * A relay on loopback in front of scripted backend servers, with one server for each of [scripts].
 *
 * @param respondBeforeBody whether the servers respond before they read the request body.
 * @param configured whether to call [configure] at once.
 * @param graceMilliseconds the grace time of a stop.
 * @param memory the memory that messages may take.
 * @param policies the replaceable decision rules.
 */
class TestRelay(
    vararg scripts: (ScriptedRequest) -> Unit,
    respondBeforeBody: Boolean = false,
    configured: Boolean = true,
    memory: MemoryLimits = MemoryLimits(),
    graceMilliseconds: Long = 8_000,
    policies: RelayPolicies = RelayPolicies(),
) : AutoCloseable {
    val servers = scripts.map { ScriptedServer(respondBeforeBody, it).start() }
    private val callers = Address("127.0.0.1", FreePorts.next())
    private val ready = Address("127.0.0.1", FreePorts.next())
    private val program = RelayProgram(
        settings = RelaySettings(
            vm = VmId("vm-1"),
            zone = zone,
            graceMilliseconds = graceMilliseconds,
            retryRatio = 0.9,
            retryWindowMilliseconds = 10_000,
            retrySlack = 54.0,
            exposureLimit = 0.15,
            sessionIdleTimeoutMilliseconds = 5_000,
        ),
        listeners = Listeners(callers, ready),
        codec = PlainCodec,
        store = { _, _ -> Interpreter { } },
        policies = policies,
        memory = memory,
    )

    init {
        program.start()
        if (configured) configure()
    }

    /** Delivers the configuration and the list of servers, and waits until the relay is ready. */
    fun configure() {
        program.post(RelayEvent.MembersListed(generation = 0, memberAddresses = mapOf(VmId("vm-1") to "")))
        program.post(RelayEvent.FeedRead(Feed.ORDERS, listOf(FeedEntry.Configuration(table)), 1, snapshot = true))
        program.post(RelayEvent.FeedRead(Feed.SERVERS, listings(), 1, snapshot = true))
        awaitReady()
    }

    /** Delivers the configuration [version], by which connections may be idle for [idleTimeoutMilliseconds]. */
    fun changeIdleTimeout(version: Long, idleTimeoutMilliseconds: Long): Unit =
        change(version) { it.copy(limits = it.limits.copy(idleTimeoutMilliseconds = idleTimeoutMilliseconds)) }

    /** Delivers the first configuration with [change] as the configuration [version]. */
    fun change(version: Long, change: (RoutingTable) -> RoutingTable) {
        val changed = FeedEntry.Configuration(change(table).copy(version = version))
        program.post(RelayEvent.FeedRead(Feed.ORDERS, listOf(changed), nextOffset = version, snapshot = false))
    }

    /** Makes [other] known as a router to which this one may hand requests over. */
    fun know(other: TestRelay) {
        val members = mapOf(VmId("vm-1") to "", VmId("vm-2") to "127.0.0.1:9")
        program.post(RelayEvent.MembersListed(generation = 0, memberAddresses = members))
        val beacon =
            PeerBeacon(VmId("vm-2"), sequence = 1, work = persistentMapOf(), callerPort = other.callers.port)
        program.post(RelayEvent.BeaconReceived(beacon))
    }

    /** Asks the relay to stop gracefully. */
    fun requestStop(): Unit = program.post(RelayEvent.StopRequested)

    /** Whether health checks find the relay ready. */
    val isReady: Boolean
        get() = CallerSocket(Socket(ready.host, ready.port)).use {
            " 200 " in it.send("GET / HTTP/1.1\r\nHost: app\r\nConnection: close\r\n\r\n").readAll()
        }

    private fun awaitReady() {
        val waitStart = System.nanoTime()
        while (System.nanoTime() - waitStart < READ_TIMEOUT_MILLISECONDS * NANOSECONDS_PER_MILLISECOND) {
            if (isReady) return
        }
        error("the relay is not ready")
    }

    /** Opens a connection as a caller. */
    fun connect(): CallerSocket = CallerSocket(Socket(callers.host, callers.port))

    /** Opens a connection as a caller for whom the system buffers only about [receiveBufferBytes]. */
    fun connectWithBuffer(receiveBufferBytes: Int): CallerSocket {
        val socket = Socket().apply { receiveBufferSize = receiveBufferBytes }
        socket.connect(InetSocketAddress(callers.host, callers.port))
        return CallerSocket(socket)
    }

    /** Blocks until the relay has ended. Returns whether it was asked to stop. */
    fun awaitTermination(): Boolean = program.awaitTermination()

    /** Sends [request] on a new connection, and returns all input until the relay closes it. */
    fun exchange(request: String): String = connect().use { it.send(request).readAll() }

    override fun close() {
        servers.forEach { it.close() }
    }

    private fun listings(): List<FeedEntry> = servers.mapIndexed { index, server ->
        FeedEntry.Server(
            ServerListing(
                id = BackendServerId("s-$index"),
                service = service,
                address = "127.0.0.1:${server.port}",
                zone = zone,
                version = "v1",
                slots = 6,
                draining = false,
                coldMilliseconds = 0,
                startedAt = 1,
                sequence = 1,
            ),
        )
    }

    /** A caller's connection. */
    class CallerSocket(private val socket: Socket) : AutoCloseable {
        init {
            socket.soTimeout = READ_TIMEOUT_MILLISECONDS.toInt()
        }

        /** Writes [text] unchanged. */
        fun send(text: String): CallerSocket = apply {
            socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
            socket.getOutputStream().flush()
        }

        /** Reads until the relay closes the connection, and returns the input. */
        fun readAll(): String = socket.getInputStream().readAllBytes().toString(Charsets.ISO_8859_1)

        /** Reads [count] bytes, or fewer if the connection ends before, and returns them. */
        fun readBytes(count: Int): ByteArray = socket.getInputStream().readNBytes(count)

        /** Reads until the input contains [text], and returns the input. */
        fun readUntil(text: String): String {
            val read = StringBuilder()
            while (text !in read) {
                val next = socket.getInputStream().read()
                assertTrue(next >= 0, "the connection ended after '$read'")
                read.append(next.toChar())
            }
            return read.toString()
        }

        /** Returns what [reader] makes of the input. */
        fun <T> read(reader: (InputStream) -> T): T = reader(socket.getInputStream())

        override fun close(): Unit = socket.close()
    }

    companion object {
        /** Larger than the buffers of a loopback connection. */
        const val MAXIMUM_BODY_BYTES = 16_000_000
        private const val READ_TIMEOUT_MILLISECONDS = 5_000L
        private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
        private val zone = AvailabilityZoneId("zone-a")
        private val service = ServiceName("ledger")
        private val splits = persistentListOf(Split(service, weight = 1))
        private val bookRoute = Route(
            name = "book",
            host = "app",
            pathPrefix = "/book/",
            splits = splits,
            idempotent = false,
            timeoutMilliseconds = 2_000,
            targetMilliseconds = 400,
        )
        private val table = RoutingTable(
            version = 1,
            routes = persistentListOf(
                bookRoute,
                bookRoute.copy(name = "look", pathPrefix = "/look/", idempotent = true, maximumAttempts = 2),
                bookRoute.copy(
                    name = "draft",
                    pathPrefix = "/draft/",
                    streaming = true,
                    resumable = true,
                    maximumAttempts = 3,
                    targetGapMilliseconds = 1_000,
                ),
                bookRoute.copy(name = "note", pathPrefix = "/note/", streaming = true),
            ),
            services = persistentMapOf(service to BackendService(service, maximumConnections = 20)),
            limits = CallerLimits(
                2_048,
                MAXIMUM_BODY_BYTES,
                headerTimeoutMilliseconds = 1_000,
                idleTimeoutMilliseconds = 5_000,
            ),
        )
    }
}

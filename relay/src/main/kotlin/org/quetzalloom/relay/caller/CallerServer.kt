package org.quetzalloom.relay.caller

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import org.quetzalloom.core.relay.routing.CallerLimits
import org.quetzalloom.relay.head.ConnectionMemory
import org.quetzalloom.relay.http.StrictRequestDecoder
import org.quetzalloom.relay.http.withRelayOptions
import java.nio.channels.ServerSocketChannel
import java.util.concurrent.TimeUnit

/**
 * Accepts connections from callers and tracks the open ones. Confined to the event loop's thread, except for [attach].
 *
 * @property handler receives the requests.
 * @param memory bounds the memory of the requests and their connections.
 * @param unread bounds the memory of the responses that callers have not read.
 */
internal class CallerServer(
    val handler: RequestHandler,
    private val memory: RequestMemory,
    private val unread: UnreadResponses,
) {
    private val connections = LinkedHashSet<CallerConnection>()
    private var listener: Channel? = null

    /**
     * The limits on requests.
     *
     * A new maximum header size applies to new connections, and a new maximum body size applies at once. A longer idle
     * timeout applies to idle connections, too, which callers may use for that long from now on; all other timeouts
     * apply to timers that are started afterwards.
     */
    var limits: CallerLimits = INITIAL_LIMITS
        set(value) {
            val extended = value.idleTimeoutMilliseconds > field.idleTimeoutMilliseconds
            field = value
            if (extended && !draining) connections.toList().forEach { it.restartIdleTimeout() }
        }

    /** Whether each connection is closed after its current or next response. */
    var draining: Boolean = false
        private set

    /** Whether no request is being received, or has a response that is still to be written, on any connection. */
    val allDone: Boolean get() = connections.all { it.done }

    /** The number of connections that were dropped because there were too many. */
    var droppedConnections: Long = 0
        private set

    private val maximumConnections = minOf(
        memory.limitBytes / CONNECTIONS_DIVISOR / ConnectionMemory.CONNECTION_BYTES,
        Descriptors.limitOrNull()?.let { it / CONNECTIONS_DIVISOR - RESERVED_DESCRIPTORS } ?: Long.MAX_VALUE,
    ).coerceAtLeast(1)

    /** The number of open connections. */
    val connectionCount: Int get() = connections.size

    /**
     * Attaches [socket], whose connections [accept] accepts.
     *
     * Blocks until the socket is registered, so it must not be called on the event loop's thread.
     */
    fun attach(group: EventLoopGroup, socket: ServerSocketChannel) {
        val bootstrap = ServerBootstrap().group(group)
            .channelFactory { NioServerSocketChannel(socket) }
            .withRelayOptions()
            .option(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.RCVBUF_ALLOCATOR, readToEnd())
            .childHandler(Initializer())
        listener = bootstrap.register().sync().channel()
    }

    /** Lets each read go on to the end of the input, so that the caller's close behind a request is found with it. */
    private fun readToEnd() = AdaptiveRecvByteBufAllocator(SMALLEST_READ, FIRST_READ, LARGEST_READ)
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(READS_IN_A_ROW)

    /** Accepts connections from now on, those that wait already first. */
    fun accept() {
        listener?.config()?.isAutoRead = true
    }

    /**
     * Closes each connection after its current or next response from now on, and once, after
     * [idleCloseDelayMilliseconds], those that are idle at that time. New connections are still accepted.
     */
    fun drain(group: EventLoopGroup, idleCloseDelayMilliseconds: Long) {
        draining = true
        group.schedule(
            { connections.filter { it.done }.forEach { it.gracefulClose.closeAfter(milliseconds = 0) } },
            idleCloseDelayMilliseconds,
            TimeUnit.MILLISECONDS,
        )
    }

    /**
     * Adds [connection], which has been accepted. If there are too many, drops the oldest that has no request to be
     * answered, or else one whose caller has read nothing for the idle timeout.
     */
    fun onOpened(connection: CallerConnection) {
        connections.add(connection)
        if (connections.size <= maximumConnections) return
        droppedConnections++
        val expendable = connections.firstOrNull { it.expendable }
        if (expendable == null && unread.dropLongestSilent(limits.idleTimeoutMilliseconds)) return
        (expendable ?: connection).gracefulClose.drop()
    }

    /** While memory is scarce, drops the callers that have read nothing of their responses for the idle timeout. */
    fun dropSilentCallers() {
        unread.refresh()
        if (memory.usedBytes <= memory.limitBytes / SCARCE_DIVISOR) return
        while (unread.dropLongestSilent(limits.idleTimeoutMilliseconds)) continue
    }

    /** Removes [connection], which has been closed. */
    fun onClosed(connection: CallerConnection) {
        connections.remove(connection)
    }

    private inner class Initializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val connectionMemory = ConnectionMemory(memory)
            val unreadBytes = UnreadBytes(memory, unread)
            val reader = RequestReader(memory) { limits }
            channel.pipeline().addLast(
                unreadBytes,
                ResponseEncoder(),
                InboundBytesHandler(reader),
                StrictRequestDecoder(limits.maximumHeaderBytes, connectionMemory),
                reader,
                CallerConnection(this@CallerServer, connectionMemory, unreadBytes),
            )
        }
    }

    private companion object {
        /** The sizes of reads in bytes. A buffer that ends with a part of a line is kept until its end arrives. */
        const val SMALLEST_READ = 64
        const val FIRST_READ = 2_048
        const val LARGEST_READ = 32_768

        /** The number of reads after which other connections have their turn. */
        const val READS_IN_A_ROW = 16

        /** The share of the memory for requests, and of the descriptors, that connections may take. */
        const val CONNECTIONS_DIVISOR = 2

        /** The share of the memory for requests above which memory is scarce. */
        const val SCARCE_DIVISOR = 2

        /** Descriptors for the process's files and its connections to the store and to other routers. */
        const val RESERVED_DESCRIPTORS = 64

        /** The limits until a configuration has been read; until then every request is refused. */
        val INITIAL_LIMITS = CallerLimits(
            maximumHeaderBytes = 16_384,
            maximumBodyBytes = 1_048_576,
            headerTimeoutMilliseconds = 3_000,
            idleTimeoutMilliseconds = 15_000,
        )
    }
}

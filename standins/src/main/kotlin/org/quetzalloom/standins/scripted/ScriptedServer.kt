package org.quetzalloom.standins.scripted

import java.io.BufferedInputStream
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * A backend server for tests that can break the protocol in any way: [script] answers each request by writing bytes.
 *
 * It listens on a free port of the loopback address. Each connection has a thread of its own, on which [script] runs.
 *
 * @param respondBeforeBody whether [script] runs before the body is read; the body is read and discarded afterwards.
 */
class ScriptedServer(
    private val respondBeforeBody: Boolean = false,
    private val script: (ScriptedRequest) -> Unit,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()

    /** The requests of all connections, in the order in which they were read. */
    val requests: CopyOnWriteArrayList<ScriptedRequest> = CopyOnWriteArrayList()

    /** The port that it listens on. */
    val port: Int get() = listener.localPort

    /** The number of connections accepted so far, closed ones included. */
    val acceptedConnections: Int get() = sockets.size

    /** Starts to accept connections. Returns this server. */
    fun start(): ScriptedServer = apply { thread(isDaemon = true) { acceptConnections() } }

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
    }

    private fun acceptConnections() {
        while (!listener.isClosed) {
            val socket = acceptOrNull() ?: return
            sockets += socket
            thread(isDaemon = true) { serve(socket) }
        }
    }

    private fun acceptOrNull(): Socket? = try {
        listener.accept()
    } catch (_: IOException) {
        null
    }

    private fun serve(socket: Socket) {
        val input = BufferedInputStream(socket.getInputStream())
        try {
            while (true) {
                val request = ScriptedRequest.readOrNull(input, socket, respondBeforeBody) ?: return
                requests += request
                script(request)
                if (respondBeforeBody) input.skipNBytes(request.contentLength)
            }
        } catch (_: IOException) {
            socket.close()
        }
    }

    private companion object {
        const val BACKLOG = 50
    }
}

package org.quetzalloom.standins.scripted

import java.io.BufferedInputStream
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * Stands in for a backend server that may misbehave in any way that bytes can: each request is answered by [script],
 * which writes what it likes.
 *
 * @param early whether a request is answered before its body is read; the body is read afterwards.
 */
class ScriptedServer(
    private val respondBeforeBody: Boolean = false,
    private val script: (ScriptedRequest) -> Unit,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()

    /** The requests that were read, in order. */
    val requests: CopyOnWriteArrayList<ScriptedRequest> = CopyOnWriteArrayList()

    /** The port on the loopback address. */
    val port: Int get() = listener.localPort

    /** Connections that were accepted. */
    val acceptedConnections: Int get() = sockets.size

    /** Starts to accept connections. */
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

package org.quetzalloom.relay.caller

import io.netty.channel.Channel
import io.netty.channel.socket.SocketChannel
import org.quetzalloom.relay.http.RestartableTimer

/** Closes the connection of [channel] so that nothing is lost that the caller has not read yet. */
internal class GracefulClose(private val channel: Channel) {
    private val timer = RestartableTimer(channel.eventLoop())

    /** Whether the connection is being closed. */
    var closing = false
        private set

    /** Closes the connection after [milliseconds], unless it is [cancel]led before. */
    fun closeAfter(milliseconds: Long) {
        if (!closing) timer.restart(milliseconds) { close() }
    }

    /** Leaves the connection open, unless it is being closed already. */
    fun cancel() {
        if (!closing) timer.cancel()
    }

    /** Ends what is sent, and closes once the caller has closed too or has had time to. */
    fun close() {
        if (closing) return
        closing = true
        (channel as SocketChannel).shutdownOutput()
        timer.restart(LINGER_TIMEOUT_MILLISECONDS) { channel.close() }
    }

    /** Takes that the connection has closed. */
    fun onClosed() {
        closing = true
        timer.cancel()
    }

    private companion object {
        /** The time that a caller has to close its side. */
        const val LINGER_TIMEOUT_MILLISECONDS = 1_000L
    }
}

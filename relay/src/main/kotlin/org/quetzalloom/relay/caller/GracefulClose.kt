package org.quetzalloom.relay.caller

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.socket.SocketChannel
import org.quetzalloom.relay.http.RestartableTimer

/**
 * Closes the connection of [channel] without losing response bytes that the caller has not read yet.
 *
 * The connection is half-closed first: closing it with unread input would reset it, and a reset discards such bytes.
 */
internal class GracefulClose(private val channel: Channel) {
    private val timer = RestartableTimer(channel.eventLoop())

    /** Whether the connection is being closed. */
    var closing = false
        private set

    /**
     * Schedules the close of an idle connection after [milliseconds], in place of any earlier schedule.
     *
     * After a pause of the process, timers may be handled before the input that has arrived meanwhile. So there is a
     * short time in which that input is read, and may [cancel] the schedule. After that nothing is read: a request that
     * arrives later is reset after the linger timeout, and its caller knows that it has not run.
     */
    fun closeAfter(milliseconds: Long) {
        if (closing) return
        timer.restart(milliseconds) {
            timer.restart(READ_MILLISECONDS) {
                channel.config().isAutoRead = false
                close()
            }
        }
    }

    /** Cancels a scheduled close. Has no effect once closing has begun. */
    fun cancel() {
        if (!closing) timer.cancel()
    }

    /**
     * Half-closes the connection once everything is written, and closes it completely unless the caller does so within
     * the linger timeout.
     */
    fun close() {
        if (closing) return
        closing = true
        timer.restart(WRITE_TIMEOUT_MILLISECONDS) { channel.close() }
        // Half-closing discards what waits to be written.
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener {
            (channel as SocketChannel).shutdownOutput()
            timer.restart(LINGER_TIMEOUT_MILLISECONDS) { channel.close() }
        }
    }

    /** Closes the connection at once. */
    fun drop() {
        channel.close()
    }

    /** Handles that the connection has been closed. */
    fun onClosed() {
        closing = true
        timer.cancel()
    }

    companion object {
        /** How long a connection waits for the caller to read the rest of its response. */
        const val WRITE_TIMEOUT_MILLISECONDS = 30_000L

        /** The time in which input that has arrived is read. */
        private const val READ_MILLISECONDS = 10L

        /** How long a half-closed connection waits for the caller to close its side. */
        private const val LINGER_TIMEOUT_MILLISECONDS = 1_000L
    }
}

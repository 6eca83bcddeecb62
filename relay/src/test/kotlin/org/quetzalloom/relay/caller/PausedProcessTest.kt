package org.quetzalloom.relay.caller

import io.netty.channel.DefaultSelectStrategyFactory
import io.netty.channel.SelectStrategy
import io.netty.channel.SelectStrategyFactory
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.util.concurrent.DefaultThreadFactory
import io.netty.util.concurrent.ThreadPerTaskExecutor
import org.quetzalloom.core.relay.routing.CallerLimits
import org.quetzalloom.relay.http.Address
import org.quetzalloom.standins.port.FreePorts
import java.io.InputStream
import java.net.Socket
import java.nio.channels.spi.SelectorProvider
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** A router that had been paused closed connections as idle on which requests had arrived in time. */
class PausedProcessTest {
    private val selectInterrupted = AtomicBoolean()

    /** A pause interrupts the wait for input, which then ends without input if its time is up. */
    private val strategy = SelectStrategyFactory {
        val usual = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy()
        SelectStrategy { supplier, hasTasks ->
            if (selectInterrupted.getAndSet(false)) 0 else usual.calculateStrategy(supplier, hasTasks)
        }
    }

    private val group = NioEventLoopGroup(
        1,
        ThreadPerTaskExecutor(DefaultThreadFactory("loop", true)),
        SelectorProvider.provider(),
        strategy,
    )

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun Socket.exchange(path: String): String {
        send(path)
        return getInputStream().readStatus()
    }

    private fun Socket.send(path: String) {
        getOutputStream().write("GET $path HTTP/1.1\r\nHost: app\r\n\r\n".toByteArray())
    }

    /** Reads a head, or up to the end of the input, and returns the first line. */
    private fun InputStream.readStatus(): String {
        val read = StringBuilder()
        while (!read.endsWith("\r\n\r\n")) {
            val next = read()
            if (next < 0) break
            read.append(next.toChar())
        }
        return read.lines().first()
    }

    @Test
    fun `a request that arrived in time during a pause is answered after it`() {
        val handler = RecordingHandler()
        val server = TestCallers.server(handler)
        server.limits = CallerLimits(16_384, 1_048_576, headerTimeoutMilliseconds = 3_000, IDLE_TIMEOUT_MILLISECONDS)
        val address = Address("127.0.0.1", FreePorts.next())
        server.attach(group, CallerSocket.bind(address))
        group.next().submit { server.accept() }.sync()
        Socket(address.host, address.port).use { caller ->
            assertEquals("HTTP/1.1 200 OK", caller.exchange("/before"))
            val paused = CountDownLatch(1)
            val pause = group.next().submit {
                paused.countDown()
                Thread.sleep(2 * IDLE_TIMEOUT_MILLISECONDS)
                selectInterrupted.set(true)
            }
            paused.await()
            caller.send("/during")
            pause.sync()
            assertEquals("HTTP/1.1 200 OK", caller.getInputStream().readStatus())
        }
        assertEquals(listOf("/before", "/during"), handler.paths)
    }

    private companion object {
        const val IDLE_TIMEOUT_MILLISECONDS = 300L
    }
}

package org.quetzalloom.relay

import io.netty.channel.EventLoopGroup
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.time.Clock
import org.quetzalloom.relay.backend.BackendCall
import org.quetzalloom.relay.backend.BackendPool
import org.quetzalloom.relay.backend.ResponseMemory
import org.quetzalloom.relay.caller.CallerServer
import org.quetzalloom.relay.caller.RequestMemory
import org.quetzalloom.relay.caller.UnreadResponses
import org.quetzalloom.relay.http.MessageCodec
import org.quetzalloom.relay.report.Reporter
import java.nio.channels.ServerSocketChannel
import java.util.concurrent.TimeUnit

/**
 * Connects the sockets of callers and backend servers to the reducer: posts what happens on them as events, and carries
 * out the effects on them. Confined to the event loop's thread.
 *
 * @param memory the memory that messages may take.
 * @param post posts an event to the reducer.
 */
internal class Relay(
    private val group: EventLoopGroup,
    private val codec: MessageCodec,
    private val reporter: Reporter,
    clock: Clock,
    memory: MemoryLimits,
    private val post: (RelayEvent) -> Unit,
) {
    private val executor = group.next()
    private val exchanges = ExchangeTable()
    private val attemptEvents = PostedAttemptEvents(exchanges, codec, post)
    private val responseMemory = ResponseMemory(memory.responseBytes) { exchanges.largestCallOrNull() }

    /** Counts the memory of all requests, also of those that other programs than callers send. */
    val requestMemory = RequestMemory(memory.requestBytes)
    private val requestHandler = ReducerRequestHandler(exchanges, codec, reporter, post)
    private val unreadResponses = UnreadResponses(memory.unreadBytes, clock)
    private val callerServer = CallerServer(requestHandler, requestMemory, unreadResponses)
    private val pool = BackendPool(group, codec, clock, responseMemory)

    private var reportedHeads = 0L
    private var reportedConnections = 0L
    private var reportedCallers = 0L

    /** The number of open connections from callers. */
    val callerConnections: Int get() = callerServer.connectionCount

    /** The number of connections from callers that were dropped because there were too many. */
    val droppedCallerConnections: Long get() = callerServer.droppedConnections

    /** The memory that responses take which callers have not read. */
    val unreadResponseBytes: Long get() = unreadResponses.usedBytes

    /** The number of callers that were dropped because they did not read their responses. */
    val droppedSilentCallers: Long get() = unreadResponses.droppedCallers

    /** The number of open connections to backend servers. */
    val backendConnections: Int get() = pool.connectionCount

    /** The number of connection attempts to backend servers since the start, including failed ones. */
    val backendConnectionAttempts: Long get() = pool.connectionAttempts

    /** Attaches the [socket] for callers, whose connections are accepted once the reducer asks for it. */
    fun attach(socket: ServerSocketChannel): Unit = callerServer.attach(group, socket)

    /**
     * Closes backend connections whose idle time has run out, and those of callers that do not read while memory is
     * scarce. Logs what was refused or dropped for want of memory lately.
     */
    fun prune() {
        pool.prune()
        callerServer.dropSilentCallers()
        reportRefusedHeads()
        reportSilentCallers()
    }

    private fun reportSilentCallers() {
        val dropped = droppedSilentCallers - reportedCallers
        if (dropped == 0L) return
        reportedCallers += dropped
        reporter.reportSilentCallers(dropped, unreadResponseBytes, requestMemory.usedBytes)
    }

    private fun reportRefusedHeads() {
        val refused = requestMemory.refusedHeads - reportedHeads
        val dropped = droppedCallerConnections - reportedConnections
        if (refused == 0L && dropped == 0L) return
        reportedHeads += refused
        reportedConnections += dropped
        reporter.reportRefusedHeads(refused, dropped, requestMemory.usedBytes)
    }

    /**
     * Calls [action] once no request is being received and all responses have been written, but after
     * [withinMilliseconds] at the latest.
     */
    fun awaitCallers(withinMilliseconds: Long, action: () -> Unit) {
        if (withinMilliseconds <= 0 || callerServer.allDone) return action()
        val wait = minOf(withinMilliseconds, CALLER_CHECK_INTERVAL_MILLISECONDS)
        executor.schedule({ awaitCallers(withinMilliseconds - wait, action) }, wait, TimeUnit.MILLISECONDS)
    }

    /** Carries out [effect] if it concerns an exchange or callers' connections; ignores any other effect. */
    fun carryOut(effect: RelayEffect) {
        when (effect) {
            is RelayEffect.Send -> send(effect)
            is RelayEffect.ProbeServer -> pool.probe(effect.address, effect.maximumConnections) { connected ->
                post(RelayEvent.ServerProbed(effect.service, effect.server, connected))
            }
            is RelayEffect.ForwardResponse -> exchanges.callOrNull(effect.exchange, effect.attempt)?.forward()
            is RelayEffect.CancelAttempt -> exchanges.callOrNull(effect.exchange, effect.attempt)?.abandon()
            is RelayEffect.Refuse -> requestHandler.refuse(effect)
            is RelayEffect.AbortResponse -> requestHandler.abort(effect)
            is RelayEffect.ApplyLimits -> callerServer.limits = effect.limits
            RelayEffect.AcceptCallers -> callerServer.accept()
            RelayEffect.DrainConnections -> callerServer.drain(group, IDLE_CLOSE_DELAY_MILLISECONDS)
            else -> Unit
        }
    }

    private fun send(effect: RelayEffect.Send) {
        val exchange = exchanges.getOrNull(effect.exchange) ?: return
        val call = BackendCall(exchange, effect, codec, attemptEvents, responseMemory, executor)
        exchange.call = call
        pool.send(call)
    }

    private companion object {
        /** Idle connections are closed this long after readiness is withdrawn, when new ones have ceased to arrive. */
        const val IDLE_CLOSE_DELAY_MILLISECONDS = 2_500L
        const val CALLER_CHECK_INTERVAL_MILLISECONDS = 20L
    }
}

package org.quetzalloom.daemon

import arrow.fx.coroutines.ResourceScope
import arrow.fx.coroutines.resourceScope
import io.ktor.client.HttpClient
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.router.RouterReducer
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.status
import org.quetzalloom.daemon.backend.BackendClient
import org.quetzalloom.daemon.backend.ServiceClient
import org.quetzalloom.daemon.caller.CallerRoutes
import org.quetzalloom.daemon.caller.PendingAnswers
import org.quetzalloom.daemon.caller.RequestParser
import org.quetzalloom.daemon.client.ClientFactory
import org.quetzalloom.daemon.peer.PeerClient
import org.quetzalloom.daemon.peer.PeerRoutes
import org.quetzalloom.daemon.platform.PlatformClient
import org.quetzalloom.daemon.platform.PlatformHttp
import org.quetzalloom.daemon.report.AdminRoutes
import org.quetzalloom.daemon.report.Metrics
import org.quetzalloom.daemon.report.Reporter
import org.quetzalloom.runtime.EventLoop
import org.quetzalloom.runtime.LoopSettings
import org.quetzalloom.runtime.SystemClock

/**
 * A process of the router with its own interface: the event loop around [RouterReducer], the HTTP server whose routes
 * post events to the loop, and the clients that carry out the loop's effects. The modules `relay` and `platform` hold
 * the other router, which runs on the users' platform.
 */
internal class Daemon(private val settings: DaemonSettings) {
    private val clock = SystemClock()
    private val loop: RouterLoop = EventLoop(
        initial = RouterState.initial(settings.router),
        reducer = RouterReducer,
        tick = Event.Tick,
        settings = LoopSettings(name = "router-loop"),
        clock = clock,
    )
    private val stopped = CompletableDeferred<Unit>()
    private val metrics = Metrics { loop.snapshot().status(clock.now()) }
    private val reporter = Reporter(metrics.events)
    private val pendingAnswers = PendingAnswers()

    /**
     * Starts a graceful shutdown. [run] returns once all requests are answered and no record can be lost: commands are
     * in the log, and bills are in the log or at live peers.
     */
    fun requestShutdown(): Unit = loop.post(Event.ShutdownRequested)

    /** Runs the router until a graceful shutdown is complete. */
    suspend fun run(): Unit = resourceScope {
        val client = installClient()
        val scope = installWorkerScope()
        loop.start(createInterpreter(client, installServiceClient(), scope))
        installServer()
        stopped.await()
        loop.stop()
    }

    private suspend fun ResourceScope.installClient(): HttpClient = install(
        acquire = { ClientFactory.create() },
        release = { client, _ -> client.close() },
    )

    private suspend fun ResourceScope.installServiceClient(): ServiceClient = install(
        acquire = { ServiceClient() },
        release = { client, _ -> client.close() },
    )

    private suspend fun ResourceScope.installWorkerScope(): CoroutineScope = install(
        acquire = { CoroutineScope(SupervisorJob() + Dispatchers.Default) },
        release = { scope, _ -> scope.cancel() },
    )

    private suspend fun ResourceScope.installServer(): EmbeddedServer<*, *> = install(
        acquire = { startServer() },
        release = { server, _ -> server.stop(STOP_GRACE_MILLISECONDS, STOP_TIMEOUT_MILLISECONDS) },
    )

    private fun startServer(): EmbeddedServer<*, *> {
        val (host, port) = settings.ownAddress.split(':', limit = 2)
        val server = embeddedServer(io.ktor.server.cio.CIO, port = port.toInt(), host = host) {
            routing { installRoutes(this) }
        }
        return server.start(wait = false)
    }

    private fun installRoutes(routing: Route) {
        val parser = RequestParser(settings.defaultTimeoutMilliseconds)
        AdminRoutes(loop, clock, reporter, metrics).install(routing)
        PeerRoutes(loop).install(routing)
        CallerRoutes(loop, pendingAnswers, parser, settings.largestBodyBytes).install(routing)
    }

    private fun createInterpreter(
        client: HttpClient,
        services: ServiceClient,
        scope: CoroutineScope,
    ): EffectInterpreter {
        val router = settings.router
        return EffectInterpreter(
            pendingAnswers = pendingAnswers,
            backends = BackendClient(client, services, scope, loop),
            platform = PlatformClient(
                PlatformHttp(client),
                scope,
                loop,
                settings.platform,
                "${router.vm}:${router.incarnation}"
            ),
            peers = PeerClient(client, scope, router.vm, settings.addresses),
            reporter = reporter,
            stop = { stopped.complete(Unit) },
        )
    }

    private companion object {
        const val STOP_GRACE_MILLISECONDS = 500L
        const val STOP_TIMEOUT_MILLISECONDS = 2_000L
    }
}

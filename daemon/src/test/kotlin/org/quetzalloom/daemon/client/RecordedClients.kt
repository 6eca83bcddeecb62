package org.quetzalloom.daemon.client

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.quetzalloom.core.backend.AttemptOrder
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.AttemptId
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.request.Priority
import org.quetzalloom.core.request.Target
import org.quetzalloom.core.router.RouterSettings
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.daemon.RouterLoop
import org.quetzalloom.daemon.backend.BackendClient
import org.quetzalloom.daemon.backend.ServiceClient
import org.quetzalloom.daemon.platform.PlatformAddresses
import org.quetzalloom.daemon.platform.PlatformClient
import org.quetzalloom.daemon.platform.PlatformHttp
import org.quetzalloom.runtime.LoopSettings
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

/** The clients of a router's process, with a loop that records the events that they post, and does nothing else. */
internal class RecordedClients : AutoCloseable {
    private val events = CopyOnWriteArrayList<Event>()
    private val client = ClientFactory.create()
    private val services = ServiceClient()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val loop = recordingLoop(events)
    private val backends = BackendClient(client, services, scope, loop)

    override fun close() {
        scope.cancel()
        client.close()
        services.close()
        loop.stop()
    }

    /** Starts an attempt at the backend server on [port]. Returns a function that waits for its [Outcome]. */
    fun attempt(port: Int, target: Target, body: String = "{}"): () -> Outcome {
        val attempt = AttemptId("$port-${events.size}-${System.nanoTime()}")
        val order = AttemptOrder(
            attempt = attempt,
            server = BackendServerId("server"),
            address = "127.0.0.1:$port",
            version = VersionId("m@1"),
            target = target,
            body = body,
            priority = Priority.HIGH,
            resumeFrom = 0,
            fencing = null,
            scope = null,
        )
        loop.post(Event.Tick) { backends.carryOut(Effect.OfBackend.Start(order)) }
        val deadline = deadline()
        return { outcomeOf(attempt, deadline) }
    }

    /** Requests the load of the server on [port]. Returns a function that waits for the event that this posts. */
    fun requestLoad(port: Int): () -> Event? = record { recorder ->
        val request = Effect.OfBackend.RequestLoadReport(BackendServerId("server"), "127.0.0.1:$port")
        BackendClient(client, services, scope, recorder).carryOut(request)
    }

    /** Calls the platform's service on [port]. Returns a function that waits for the event that the call posts. */
    fun callPlatform(port: Int, effect: Effect.OfPlatform): () -> Event? = record { recorder ->
        val address = "127.0.0.1:$port"
        val addresses = PlatformAddresses(log = address, vms = address, ratings = address)
        PlatformClient(PlatformHttp(client), scope, recorder, addresses, "vm-1:test").carryOut(effect)
    }

    private fun record(call: (RouterLoop) -> Unit): () -> Event? {
        val recorded = CopyOnWriteArrayList<Event>()
        val recorder = recordingLoop(recorded)
        val deadline = deadline()
        call(recorder)
        return { awaitOrNull(deadline, recorded) { true }.also { recorder.stop() } }
    }

    private fun outcomeOf(attempt: AttemptId, deadline: Long): Outcome {
        val end = awaitOrNull(deadline) {
            (it as? Event.OfBackend.Finished)?.attempt == attempt || (it as? Event.OfBackend.Failed)?.attempt == attempt
        }
        val chunks = events.filterIsInstance<Event.OfBackend.ChunkReceived>().filter { it.attempt == attempt }
        return when (end) {
            is Event.OfBackend.Finished -> Outcome.Answered(
                end.status,
                end.tokens,
                chunks.map { it.position to it.text }
            )
            is Event.OfBackend.Failed -> Outcome.Failed(end.failure)
            else -> Outcome.StillRunning
        }
    }

    private fun deadline(): Long = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONGEST_CALL_MILLISECONDS)

    private fun awaitOrNull(
        deadline: Long,
        recorded: List<Event> = events,
        condition: (Event) -> Boolean,
    ): Event? {
        while (true) {
            recorded.find(condition)?.let { return it }
            if (System.nanoTime() > deadline) return null
            Thread.sleep(POLL_MILLISECONDS)
        }
    }

    private companion object {
        const val LONGEST_CALL_MILLISECONDS = 4_000L
        const val POLL_MILLISECONDS = 5L
        val settings = RouterSettings(
            vm = VmId("vm-1"),
            incarnation = "test",
            fleet = persistentMapOf(VmId("vm-1") to AvailabilityZoneId("zone-a")),
            sessionSecret = "secret",
        )

        fun recordingLoop(events: MutableList<Event>): RouterLoop {
            val recorder = Reducer<RouterState, Event, Effect> { state, event, _ ->
                events.add(event)
                Transition(state)
            }
            val loop = RouterLoop(RouterState.initial(settings), recorder, tick = null, LoopSettings("recording-loop"))
            return loop.apply { start { } }
        }
    }
}

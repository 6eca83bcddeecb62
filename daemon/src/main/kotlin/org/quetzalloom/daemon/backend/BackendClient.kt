package org.quetzalloom.daemon.backend

import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.get
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import org.quetzalloom.core.backend.AttemptFailure
import org.quetzalloom.core.backend.AttemptOrder
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.AttemptId
import org.quetzalloom.core.identity.StartIdentity
import org.quetzalloom.core.request.Target
import org.quetzalloom.daemon.RouterLoop
import org.quetzalloom.daemon.client.ResponseCheck
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.backend.LoadResponse
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import java.net.ConnectException

/**
 * Sends requests to backend servers, reads their load reports, and posts the results to the loop.
 *
 * @param client streams responses of model engines.
 * @param services calls plain services.
 *
 * Confined to the loop's thread: [carryOut] is called there, and the jobs of ended attempts are removed there.
 */
internal class BackendClient(
    private val client: HttpClient,
    private val services: ServiceClient,
    private val scope: CoroutineScope,
    private val loop: RouterLoop,
) {
    private var jobs = persistentMapOf<AttemptId, Job>()

    /** Starts or cancels an attempt, or starts a load request. Does not wait for responses. */
    fun carryOut(effect: Effect.OfBackend) {
        when (effect) {
            is Effect.OfBackend.Start -> start(effect.order)
            is Effect.OfBackend.Cancel -> cancel(effect.attempt)
            is Effect.OfBackend.RequestLoadReport -> requestLoad(effect)
        }
    }

    private fun start(order: AttemptOrder) {
        val job = scope.launch { run(order) }
        jobs = jobs.put(order.attempt, job)
    }

    private fun cancel(attempt: AttemptId) {
        jobs[attempt]?.cancel()
        jobs = jobs.remove(attempt)
    }

    private suspend fun run(order: AttemptOrder) {
        val call: BackendCall = when (order.target) {
            is Target.Completion -> EngineCall(client, order, loop)
            is Target.ServiceCall -> ServiceCall(services, order, loop)
        }
        val finalEvent = try {
            ResponseCheck.rejectingInvalid { call.run() }
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (problem: ConnectException) {
            logFailure(order, problem)
            Event.OfBackend.Failed(order.attempt, AttemptFailure.NOT_SENT)
        } catch (problem: IOException) {
            logFailure(order, problem)
            Event.OfBackend.Failed(order.attempt, AttemptFailure.BROKEN)
        }
        loop.post(finalEvent) { jobs = jobs.remove(order.attempt) }
    }

    private fun logFailure(order: AttemptOrder, problem: Exception) {
        logger.debug("event=attempt_io_failed attempt={} problem=\"{}\"", order.attempt, problem.message)
    }

    private fun requestLoad(effect: Effect.OfBackend.RequestLoadReport) {
        scope.launch {
            val event = try {
                ResponseCheck.rejectingInvalid { readLoad(effect) }
            } catch (_: IOException) {
                Event.OfBackend.LoadReportFailed(effect.server)
            }
            loop.post(event)
        }
    }

    private suspend fun readLoad(effect: Effect.OfBackend.RequestLoadReport): Event.OfBackend.LoadReported {
        val response = client.get("http://${effect.address}/load") {
            timeout { requestTimeoutMillis = LOAD_TIMEOUT_MILLISECONDS }
        }
        val load = WireFormat.decodeFromString<LoadResponse>(ResponseCheck.readWholeText(response))
        return Event.OfBackend.LoadReported(
            server = effect.server,
            start = StartIdentity(load.start),
            running = load.running,
            uptimeMilliseconds = load.upForMilliseconds,
        )
    }

    private companion object {
        const val LOAD_TIMEOUT_MILLISECONDS = 1_000L
        val logger: Logger = LoggerFactory.getLogger(BackendClient::class.java)
    }
}

package org.quetzalloom.daemon.backend

import com.github.michaelbull.result.fold
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.FullHttpRequest
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.io.IOException
import org.quetzalloom.relay.http.Address
import org.quetzalloom.relay.http.CallClient
import org.quetzalloom.relay.http.CallFailure
import org.quetzalloom.wire.backend.BackendHeaders
import java.net.ConnectException
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resumeWithException

/**
 * Calls plain services by the HTTP client of the relay, which takes a response for complete only if it is whole.
 *
 * Calls run on one thread of their own, from which results are handed to the coroutines that wait for them.
 */
internal class ServiceClient : AutoCloseable {
    private val group = NioEventLoopGroup(1)
    private val client = CallClient(group, singleHeaders = setOf(BackendHeaders.START, BackendHeaders.NOT_RUN))

    /**
     * Sends [request] to the service at [address], a `host:port`, and returns its response, whatever the status. A
     * cancelled call closes its connection.
     *
     * @throws ConnectException if the service has not received the request.
     * @throws IOException if there is no whole response; the request may have run.
     */
    suspend fun call(address: String, request: FullHttpRequest): ServiceResponse {
        val target = Address.parseOrNull(address) ?: throw ConnectException("'$address' is not an address")
        return suspendCancellableCoroutine { waiting ->
            group.next().execute {
                val call = client.call(target, request, LONGEST_CALL_MILLISECONDS, PURPOSE) { result ->
                    result.fold(
                        success = { response -> waiting.resumeWith(runCatching { ServiceResponse.of(response) }) },
                        failure = { waiting.resumeWithException(it.toException()) },
                    )
                }
                waiting.invokeOnCancellation { group.next().execute { call.cancel() } }
            }
        }
    }

    override fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun CallFailure.toException(): IOException =
        if (mayHaveArrived) IOException(problem) else ConnectException(problem)

    private companion object {
        const val PURPOSE = "service"

        /** In effect no limit: the core ends attempts that make no progress. */
        const val LONGEST_CALL_MILLISECONDS = 24L * 60 * 60 * 1_000
    }
}

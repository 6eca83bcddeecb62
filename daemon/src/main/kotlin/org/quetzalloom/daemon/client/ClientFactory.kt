package org.quetzalloom.daemon.client

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.plugins.HttpResponseValidator
import io.ktor.client.plugins.HttpTimeout

/** Creates the HTTP client that a process uses for all its calls. */
internal object ClientFactory {
    private const val CONNECT_TIMEOUT_MILLISECONDS = 500L
    private const val MAX_CONNECTIONS = 10_000

    /**
     * Returns a new client, which the caller must close.
     *
     * A call fails if [ResponseCheck.requireOneHead] rejects the head of its response.
     */
    fun create(): HttpClient = HttpClient(CIO) {
        HttpResponseValidator { validateResponse { ResponseCheck.requireOneHead(it) } }
        install(HttpTimeout) { connectTimeoutMillis = CONNECT_TIMEOUT_MILLISECONDS }
        engine {
            requestTimeout = 0 // No timeout: the core ends attempts that make no progress.
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint { maxConnectionsPerRoute = MAX_CONNECTIONS }
        }
    }
}

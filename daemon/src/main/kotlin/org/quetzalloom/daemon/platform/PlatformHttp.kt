package org.quetzalloom.daemon.platform

import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.io.IOException
import org.quetzalloom.daemon.client.ResponseCheck

/** An HTTP client for the platform's services; each call has a timeout. */
internal class PlatformHttp(private val client: HttpClient) {
    /**
     * Returns the response body of a GET request to [url].
     *
     * @throws IOException if the call fails, times out or gets an unsuccessful status.
     */
    suspend fun get(url: String): String = client.get(url) {
        timeout { requestTimeoutMillis = TIMEOUT_MILLISECONDS }
    }.requireSuccess().let { ResponseCheck.readWholeText(it) }

    /**
     * Posts the JSON text [body] to [url] and returns the response body.
     *
     * @throws IOException if the call fails, times out or gets an unsuccessful status.
     */
    suspend fun post(url: String, body: String): String = client.post(url) {
        timeout { requestTimeoutMillis = TIMEOUT_MILLISECONDS }
        contentType(ContentType.Application.Json)
        setBody(body)
    }.requireSuccess().let { ResponseCheck.readWholeText(it) }

    private fun HttpResponse.requireSuccess(): HttpResponse =
        if (status.isSuccess()) this else throw IOException("the platform responded with status $status")

    /** Returns the result of [call], or [fallback] if the call fails or its response cannot be parsed. */
    suspend fun <T> callOrElse(fallback: T, call: suspend () -> T): T = try {
        ResponseCheck.rejectingInvalid(call)
    } catch (_: IOException) {
        fallback
    }

    private companion object {
        const val TIMEOUT_MILLISECONDS = 2_000L
    }
}

package org.quetzalloom.daemon.platform

import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.io.IOException

/** Reads from and posts to the platform, with a time limit. */
internal class PlatformHttp(private val client: HttpClient) {
    /** Returns the page at [url]. */
    suspend fun get(url: String): String = client.get(url) {
        timeout { requestTimeoutMillis = TIMEOUT_MILLISECONDS }
    }.requireSuccess().bodyAsText()

    /** Posts [body] to [url] and returns the answer. */
    suspend fun post(url: String, body: String): String = client.post(url) {
        timeout { requestTimeoutMillis = TIMEOUT_MILLISECONDS }
        contentType(ContentType.Application.Json)
        setBody(body)
    }.requireSuccess().bodyAsText()

    private fun HttpResponse.requireSuccess(): HttpResponse =
        if (status.isSuccess()) this else throw IOException("the platform answered $status")

    /** Returns what [call] returns, or [fallback] if the platform cannot be reached or makes no sense. */
    suspend fun <T> callOrElse(fallback: T, call: suspend () -> T): T = try {
        call()
    } catch (_: IOException) {
        fallback
    } catch (_: IllegalArgumentException) {
        fallback
    }

    private companion object {
        const val TIMEOUT_MILLISECONDS = 2_000L
    }
}

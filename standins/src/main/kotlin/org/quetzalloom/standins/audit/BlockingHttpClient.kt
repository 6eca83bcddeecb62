package org.quetzalloom.standins.audit

import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** A blocking HTTP client. Its functions throw [IOException] on a timeout, a failed connection or an error status. */
internal object BlockingHttpClient {
    private const val TIMEOUT_SECONDS = 5L
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    /** Sends a GET request to [url] and returns the body of the response. */
    fun get(url: String): String = send(HttpRequest.newBuilder(URI(url)).GET())

    /** Sends [body] to [url] in a POST request and returns the body of the response. */
    fun post(url: String, body: String): String =
        send(HttpRequest.newBuilder(URI(url)).POST(HttpRequest.BodyPublishers.ofString(body)))

    private fun send(builder: HttpRequest.Builder): String {
        val request = builder.timeout(Duration.ofSeconds(TIMEOUT_SECONDS)).build()
        val response = client.send(request, HttpResponse.BodyHandlers.ofString())
        if (response.statusCode() >= FIRST_ERROR_STATUS) {
            throw IOException("$request returned status ${response.statusCode()}")
        }
        return response.body()
    }

    private const val FIRST_ERROR_STATUS = 400
}

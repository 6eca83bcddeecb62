package org.quetzalloom.daemon.client

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.request
import io.ktor.http.BadContentTypeFormatException
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.charset
import io.ktor.utils.io.toByteArray
import kotlinx.coroutines.CancellationException
import org.quetzalloom.wire.backend.BackendHeaders

/** Checks that what was received is one whole response, which the HTTP client does only in part. */
internal object ResponseCheck {
    private val STATUS_LINE = Regex("""HTTP/1\.[01] [1-5]\d\d\b""")
    private val SINGLE_HEADERS =
        listOf(HttpHeaders.ContentLength, HttpHeaders.ContentType, BackendHeaders.START, BackendHeaders.NOT_RUN)

    /**
     * Checks that the head of [response] does not contain the start of another response, which a faulty server may send
     * on the same connection before the first one is complete.
     *
     * An interim response is rejected as well: the HTTP client takes it for the final one.
     *
     * @throws InvalidResponseException if the head is rejected, or if the length of the body is not a number.
     */
    fun requireOneHead(response: HttpResponse) {
        requireValid(!response.status.isInformational()) { "it is an interim one" }
        val lines = response.headers.entries().flatMap { it.value } + response.status.description
        requireValid(lines.none { STATUS_LINE.containsMatchIn(it) }) { "its head contains another status line" }
        SINGLE_HEADERS.forEach { name ->
            requireValid(response.headers.getAll(name).orEmpty().size <= 1) { "the header $name is repeated" }
        }
        val length = response.headers[HttpHeaders.ContentLength]
        requireValid(length == null || length.isLength()) { "'$length' is not a length" }
    }

    /**
     * Reads the body of [response], which must be as long as its head says.
     *
     * @throws InvalidResponseException if it is shorter.
     */
    suspend fun readWholeText(response: HttpResponse): String {
        val bytes = response.bodyAsChannel().toByteArray()
        val expected = bodyLengthOrNull(response)
        requireValid(expected == null || expected == bytes.size.toLong()) {
            "its body has ${bytes.size} bytes instead of $expected"
        }
        return bytes.toString(response.charset() ?: Charsets.UTF_8)
    }

    /**
     * Returns the result of [call].
     *
     * @throws InvalidResponseException if the response of [call] breaks the format of HTTP or of our messages, which
     *   the HTTP client and the parsers report by exceptions that are no [kotlinx.io.IOException].
     */
    suspend fun <T> rejectingInvalid(call: suspend () -> T): T = try {
        call()
    } catch (cancelled: CancellationException) {
        throw cancelled // A kind of IllegalStateException.
    } catch (problem: IllegalStateException) {
        throw InvalidResponseException(problem.message, problem)
    } catch (problem: BadContentTypeFormatException) {
        throw InvalidResponseException(problem.message, problem)
    } catch (problem: IllegalArgumentException) {
        throw InvalidResponseException(problem.message, problem)
    }

    /** Returns the length of the body according to the head, or `null` if the head does not tell. */
    private fun bodyLengthOrNull(response: HttpResponse): Long? = response.headers[HttpHeaders.ContentLength]
        ?.takeIf { response.headers[HttpHeaders.TransferEncoding] == null }
        ?.takeIf { response.request.method != HttpMethod.Head && response.status != HttpStatusCode.NotModified }
        ?.toLong()

    private fun HttpStatusCode.isInformational() = value < HttpStatusCode.OK.value

    private fun String.isLength() = all { it in '0'..'9' } && toLongOrNull() != null

    private inline fun requireValid(condition: Boolean, problem: () -> String) {
        if (!condition) throw InvalidResponseException("the response is invalid: ${problem()}")
    }
}

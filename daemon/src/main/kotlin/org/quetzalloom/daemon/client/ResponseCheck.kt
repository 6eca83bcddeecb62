package org.quetzalloom.daemon.client

import io.ktor.http.BadContentTypeFormatException
import kotlinx.coroutines.CancellationException

/** Turns the exceptions of invalid responses into one kind. */
internal object ResponseCheck {
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
}

package org.quetzalloom.standins.load

import kotlinx.serialization.Serializable

/**
 * The result of one request.
 *
 * @property kind `completion` or `command`.
 * @property result `whole` for a complete and correct answer, `wrong` for a complete one with another text, `cut` if
 *   the response ended first or is an error response of an engine, the code of an error of a router, or
 *   `unreadable_error` if that cannot be parsed. The body of a command's answer is not checked.
 * @property notRun whether the error said that the request was not executed.
 * @property key the idempotency key of a command, or `null` for a completion.
 * @property version the version that answered a completion; empty or `null` if it is unknown.
 * @property session the session of a completion, or `null` if it has none.
 * @property firstMicroseconds the time from the start to the first chunk, or `null` if there was none.
 * @property wholeMicroseconds the time from the start to the end of the response, or to the failure.
 */
@Serializable
data class LoadSample(
    val kind: String,
    val result: String,
    val notRun: Boolean = false,
    val key: String? = null,
    val version: String? = null,
    val session: String? = null,
    val firstMicroseconds: Long? = null,
    val wholeMicroseconds: Long,
)

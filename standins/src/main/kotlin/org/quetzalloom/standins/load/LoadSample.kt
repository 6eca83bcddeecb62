package org.quetzalloom.standins.load

import kotlinx.serialization.Serializable

/**
 * How one request ended.
 *
 * @property kind `completion` or `command`.
 * @property result `whole`, `wrong`, `cut`, or the code of an error.
 * @property notRun whether an error said that the request was not run.
 * @property key the key of a command.
 * @property version the version that answered.
 * @property session the session of a completion.
 * @property firstMicroseconds the time from the start to the first piece, or `null` without one.
 * @property wholeMicroseconds the time from the start to the end.
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

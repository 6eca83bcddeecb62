package org.quetzalloom.standins.fault

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The faults to inject into a stand-in. `POST /faults` replaces them all.
 *
 * @property down whether the connection of every request but `POST /faults` is aborted before the request is handled.
 * @property delayMilliseconds the delay of each response, and of each part of a streamed response.
 * @property lostAnswers the number of further requests to handle and then abort instead of answering. Streamed
 *   responses are not counted.
 */
@Serializable
data class Faults(
    val down: Boolean = false,
    @SerialName("delay_milliseconds")
    val delayMilliseconds: Long = 0,
    @SerialName("lost_answers")
    val lostAnswers: Int = 0,
)

package org.quetzalloom.standins.fault

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The fault switches that every stand-in has. `POST /faults` replaces them all.
 *
 * @property down whether every connection is broken off without an effect.
 * @property delayMilliseconds how long each answer is held back.
 * @property lostAnswers the number of answers to lose after the effect was carried out.
 */
@Serializable
data class Faults(
    val down: Boolean = false,
    @SerialName("delay_milliseconds")
    val delayMilliseconds: Long = 0,
    @SerialName("lost_answers")
    val lostAnswers: Int = 0,
)

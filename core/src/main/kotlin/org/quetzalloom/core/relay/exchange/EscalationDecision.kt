package org.quetzalloom.core.relay.exchange

/**
 * The decision whether to keep a model's response or to ask another model instead, and what it was based on.
 *
 * @property modelIndex the index of the model that gave the response.
 * @property confidence the model's confidence in its response, from 0 to 100.
 * @property largestModelStartMilliseconds the estimated time from the request's arrival to the start of a response of
 *   the largest model; `null` if the request could not be sent once more.
 * @property nextModelIndex the index of the model to ask instead, or `null` if the response is kept.
 */
internal data class EscalationDecision(
    val modelIndex: Int,
    val confidence: Int,
    val largestModelStartMilliseconds: Long?,
    val nextModelIndex: Int?,
)

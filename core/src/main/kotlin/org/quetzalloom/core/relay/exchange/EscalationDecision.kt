package org.quetzalloom.core.relay.exchange

/**
 * What decided whether the answer of a model was kept.
 *
 * @property confidence the model's own opinion of it, from 0 to 100.
 * @property largestModelStartMilliseconds when the largest model could have begun its answer, after the request's
 *   arrival; `null` if no backend server could have taken the request once more.
 * @property nextModelIndex the model that is asked instead, or `null` if the answer is kept.
 */
internal data class EscalationDecision(
    val confidence: Int,
    val largestModelStartMilliseconds: Long?,
    val nextModelIndex: Int?,
)

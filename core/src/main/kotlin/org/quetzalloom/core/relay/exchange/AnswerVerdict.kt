package org.quetzalloom.core.relay.exchange

/**
 * What decided whether the answer of a model was kept.
 *
 * @property confidence the model's own opinion of it, from 0 to 100.
 * @property largestAfterMilliseconds when the largest model could have begun its answer, after the request's arrival;
 *   `null` if no backend server could have taken the request once more.
 * @property next the model that is asked instead, or `null` if the answer is kept.
 */
internal data class AnswerVerdict(val confidence: Int, val largestAfterMilliseconds: Long?, val next: Int?)

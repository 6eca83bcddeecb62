package org.quetzalloom.core.relay.forecast

/**
 * What a forecast may know of a request.
 *
 * @property work the prompt to read, in tokens weighted by model size; 0 if the request is not for a model.
 * @property outputTokens the expected number of tokens to generate, 0 if the request is not for a model.
 */
public data class ForecastRequest(public val work: Long, public val outputTokens: Int = 0)

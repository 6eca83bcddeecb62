package org.quetzalloom.core.relay.forecast

/**
 * When a response is expected, if its request is sent now.
 *
 * @property startMilliseconds the time from now until the response, or the first event of a stream, is there.
 * @property endMilliseconds the time from now until the response is complete; at least [startMilliseconds].
 */
public data class ResponseForecast(public val startMilliseconds: Long, public val endMilliseconds: Long)

package org.quetzalloom.core.relay.exchange

import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.relay.forecast.ResponseForecast
import org.quetzalloom.core.time.Timestamp

/**
 * One attempt to have a request answered by one backend server.
 *
 * @property number the number of the attempt within its exchange, from 1.
 * @property version the version of the backend server's software.
 * @property modelIndex the index of the model among those of the route.
 * @property workUntilResponse the work ahead of the response when the attempt was sent: the prompts that the backend
 *   server had still to read, this attempt's own included. The unit is that of [pendingWork].
 * @property pendingWork the part of this attempt's prompt that the backend server has still to read, in tokens weighted
 *   by model size; 0 once its response has begun.
 * @property forecast when the response was expected when the attempt was sent, or `null` if too little was known.
 * @property stalled whether its response has paused for longer than its timeout and no other backend server could take
 *   the request.
 * @property succeeds whether its response has a status of success.
 * @property startedAt when the response began, or `null` before that.
 * @property loadAtStart the requests at the backend server when the response began, as far as it reported them.
 * @property eventsTimed whether the time between the events of the response has been measured.
 */
internal data class Attempt(
    val number: Int,
    val server: BackendServerId,
    val version: String,
    val modelIndex: Int,
    val sentAt: Timestamp,
    val workUntilResponse: Long = 0,
    val pendingWork: Long = 0,
    val forecast: ResponseForecast? = null,
    val stalled: Boolean = false,
    val succeeds: Boolean = false,
    val startedAt: Timestamp? = null,
    val loadAtStart: Int = 0,
    val eventsTimed: Boolean = false,
)

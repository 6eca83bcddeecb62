package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.relay.exchange.Attempt
import org.quetzalloom.core.relay.exchange.Exchange
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.time.Timestamp

/**
 * How long a stage of a response took, and what that usually depends on.
 *
 * @property route the name of the route if times differ between routes, or `null` if the [loadClass] describes them.
 * @property loadClass the logarithm to base 2, rounded up, of the load that delays this stage: the work ahead of the
 *   start of a response, or the requests at the backend server while it sends events.
 */
internal data class Timing(
    val service: ServiceName,
    val stage: TimedStage,
    val route: String?,
    val loadClass: Int,
    val milliseconds: Double,
) {
    companion object {
        /** The minimum number of events of a complete response from which the time for an event is taken. */
        private const val MINIMUM_EVENTS = 3

        /** Returns the time that the response of [attempt] took to start, or has taken so far at [now]. */
        fun start(exchange: Exchange, attempt: Attempt, now: Timestamp): Timing = Timing(
            service = exchange.service,
            stage = TimedStage.START,
            route = exchange.route.name.takeIf { attempt.workUntilResponse == 0L },
            loadClass = classOf(attempt.workUntilResponse),
            milliseconds = (now - attempt.sentAt).toDouble(),
        )

        /**
         * Returns the mean time for each of the [events] received since the response of [attempt] started; `null` if it
         * has not started or the events are too few.
         */
        fun eventOrNull(exchange: Exchange, attempt: Attempt, events: Int, now: Timestamp): Timing? {
            val startedAt = attempt.startedAt?.takeIf { events >= MINIMUM_EVENTS } ?: return null
            return Timing(
                service = exchange.service,
                stage = TimedStage.EVENT,
                route = null,
                loadClass = classOf(attempt.loadAtStart.toLong()),
                milliseconds = (now - startedAt).toDouble() / (events - 1),
            )
        }

        private fun classOf(load: Long): Int = Long.SIZE_BITS - load.countLeadingZeroBits()
    }
}

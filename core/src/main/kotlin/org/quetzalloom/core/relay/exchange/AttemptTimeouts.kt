package org.quetzalloom.core.relay.exchange

import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.routing.Route

/** The maximum start timeout of a stream, in targets of its route, however much has to be read before it. */
private const val MAXIMUM_STREAM_START_TARGETS = 4

/** A stream may take this many times as long to begin as the prompts ahead of it usually take to read. */
private const val STREAM_START_FACTOR = 4

/** Added to the start timeout of a stream for what does not depend on prompts: a new connection, a lost packet. */
private const val STREAM_START_ALLOWANCE_MILLISECONDS = 500L

/** The idle timeout of a resumable stream, in multiples of the longest pause that still counts as on time. */
private const val IDLE_TIMEOUT_GAPS = 1.5

/** The start timeout of a response that is not a stream, in targets of its route. */
private const val PLAIN_START_TARGETS = 1.5

/** The minimum start timeout. Many responses take longer than a short target, so less says nothing about the server. */
private const val MINIMUM_START_TIMEOUT_MILLISECONDS = 200L

/**
 * Returns how long the response of [attempt] may take to begin before the request moves to another backend server, if
 * one can take it, in milliseconds; `null`, for no limit, if the request may not run again.
 */
internal fun RelayState.startTimeoutOrNull(exchange: Exchange, attempt: Attempt): Long? {
    val route = exchange.route
    return when {
        !route.mayRunAgain -> null
        route.streaming -> streamStartTimeout(exchange, attempt)
        else -> maxOf((route.targetMilliseconds * PLAIN_START_TARGETS).toLong(), MINIMUM_START_TIMEOUT_MILLISECONDS)
    }
}

/**
 * Returns [STREAM_START_FACTOR] times the usual prefill time plus an allowance, but at least half the target and at
 * most [MAXIMUM_STREAM_START_TARGETS] targets; the maximum while the usual time is not known.
 */
private fun RelayState.streamStartTimeout(exchange: Exchange, attempt: Attempt): Long {
    val target = exchange.route.targetMilliseconds
    val longest = maxOf(target * MAXIMUM_STREAM_START_TARGETS, MINIMUM_START_TIMEOUT_MILLISECONDS)
    val duration = servers.views[attempt.server]?.workDurationOrUsual ?: 1.0
    val usual = servers.prefillPaces[exchange.service]?.estimateOrNull(attempt.workUntilResponse)
        ?.let { (it * duration).toLong() } ?: return longest
    return maxOf(target / 2, usual * STREAM_START_FACTOR + STREAM_START_ALLOWANCE_MILLISECONDS).coerceAtMost(longest)
}

/**
 * Returns the maximum pause in a response of [route] before another backend server resumes it, if one can, in
 * milliseconds; `null`, for no limit, if the route is not resumable or has no target for pauses.
 */
internal fun idleTimeoutOrNull(route: Route): Long? =
    (route.targetGapMilliseconds * IDLE_TIMEOUT_GAPS).toLong().takeIf { route.resumable && it > 0 }

package org.quetzalloom.core.relay.exchange

import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.routing.Route

/** A stream that has not begun after this many times its target is tried elsewhere, however much is read before it. */
private const val MAXIMUM_STREAM_START_TARGETS = 4

/** A stream may take this many times as long to begin as the prompts before it usually do. */
private const val STREAM_START_FACTOR = 4

/** The same for what does not depend on prompts, in milliseconds: a new connection, a lost packet. */
private const val STREAM_START_ALLOWANCE_MILLISECONDS = 500L

/** A stream whose pause is this many times the longest that is still on time goes on elsewhere. */
private const val IDLE_TIMEOUT_GAPS = 1.5

/** An answer that may be asked for again is, when it has not come after this many times its target. */
private const val PLAIN_START_TARGETS = 1.5

/** The shortest silence that says something, in milliseconds: many answers take longer than their target. */
private const val MINIMUM_START_TIMEOUT_MILLISECONDS = 200L

/** Returns how long the answer of [attempt] may take to begin before another is asked for, or `null` for no limit. */
internal fun RelayState.startTimeoutOrNull(exchange: Exchange, attempt: Attempt): Long? {
    val route = exchange.route
    return when {
        !route.mayRunAgain -> null
        route.streaming -> streamStartTimeout(exchange, attempt)
        else -> maxOf((route.targetMilliseconds * PLAIN_START_TARGETS).toLong(), MINIMUM_START_TIMEOUT_MILLISECONDS)
    }
}

private fun RelayState.streamStartTimeout(exchange: Exchange, attempt: Attempt): Long {
    val target = exchange.route.targetMilliseconds
    val longest = maxOf(target * MAXIMUM_STREAM_START_TARGETS, MINIMUM_START_TIMEOUT_MILLISECONDS)
    val usual = servers.paces[exchange.service]?.estimateOrNull(attempt.workUntilAnswer) ?: return longest
    return maxOf(target / 2, usual * STREAM_START_FACTOR + STREAM_START_ALLOWANCE_MILLISECONDS).coerceAtMost(longest)
}

/** Returns the longest pause in an answer of [route] before it goes on elsewhere, or `null` for no limit. */
internal fun idleTimeoutOrNull(route: Route): Long? =
    (route.gapMilliseconds * IDLE_TIMEOUT_GAPS).toLong().takeIf { route.resumable && it > 0 }

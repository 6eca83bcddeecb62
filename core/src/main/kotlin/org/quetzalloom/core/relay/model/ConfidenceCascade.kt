package org.quetzalloom.core.relay.model

import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.routing.Route

/**
 * Asks the smallest model first, and the largest if the answer's confidence is below [threshold].
 *
 * A request that may not run twice goes to the largest model at once.
 */
public data class ConfidenceCascade(public val threshold: Int = 50) : ModelChoice {
    override fun first(route: Route, request: RelayRequest): Int =
        if (route.mayRunAgain && route.maximumAttempts > 1) 0 else route.models.lastIndex

    override fun nextOrNull(route: Route, request: RelayRequest, model: Int, confidence: Int): Int? =
        route.models.lastIndex.takeIf { confidence < threshold && model < it }
}

package org.quetzalloom.core.relay.model

import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.routing.Route

/** Decides which model of a route answers a request. Models are named by their place in the route, smallest first. */
public interface ModelChoice {
    /** Returns the model that is asked first. */
    public fun first(route: Route, request: RelayRequest): Int

    /**
     * Returns the model that is asked after [model] has answered with [confidence], from 0 to 100, or `null` if that
     * answer is kept.
     */
    public fun nextOrNull(route: Route, model: Int, confidence: Int, outlook: ModelOutlook): Int?
}

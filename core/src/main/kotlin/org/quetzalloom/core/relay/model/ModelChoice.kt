package org.quetzalloom.core.relay.model

import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.routing.Route

/** Decides which model of a route answers a request. Models are named by their place in the route, smallest first. */
public interface ModelChoice {
    /** Returns the model that is asked first. */
    public fun firstModel(route: Route, request: RelayRequest): Int

    /**
     * Returns the model that is asked after another has given [answer], or `null` if that answer is kept.
     */
    public fun nextOrNull(
        route: Route,
        request: RelayRequest,
        answer: ModelAnswer,
        latencies: ModelLatencyEstimate,
    ): Int?
}

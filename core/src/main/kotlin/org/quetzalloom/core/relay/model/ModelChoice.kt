package org.quetzalloom.core.relay.model

import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.routing.Route

/**
 * Decides which model of a route answers a request. A model is identified by its index in the route, where models are
 * listed from the smallest to the largest.
 */
public interface ModelChoice {
    /** Returns the index of the model to ask first. */
    public fun firstModel(route: Route, request: RelayRequest): Int

    /**
     * Returns the index of the model to ask after another one has given [response], or `null` to keep that response.
     *
     * @param latencies how soon each model could answer the request now.
     */
    public fun nextOrNull(
        route: Route,
        request: RelayRequest,
        response: ModelResponse,
        latencies: ModelLatencyEstimate,
    ): Int?
}

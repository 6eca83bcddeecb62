package org.quetzalloom.core.relay.model

import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.routing.Route

/**
 * Decides which model of a route answers a request. A model is identified by its index in the route, where models are
 * listed from the smallest to the largest.
 */
public interface ModelChoice {
    /** Returns the index of the model to ask first, given the [outlook] for the request as it arrives. */
    public fun firstModel(route: Route, request: RelayRequest, outlook: ModelOutlook): Int

    /**
     * Returns the index of the model to ask after another one has given [response], or `null` to keep that response.
     *
     * @param outlook what another response can be expected to be like.
     */
    public fun nextOrNull(
        route: Route,
        request: RelayRequest,
        response: ModelResponse,
        outlook: ModelOutlook,
    ): Int?
}

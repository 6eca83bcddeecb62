package org.quetzalloom.core.relay.model

import org.quetzalloom.core.relay.exchange.RelayRequest

/** Estimates the work of reading a prompt (prefill), which a backend server does before the response begins. */
public fun interface WorkEstimate {
    /**
     * Returns the work of [request] for the model with the index [model] in its route, in tokens weighted by model
     * size; 0 if the request is not for a model.
     */
    public fun of(request: RelayRequest, model: Int): Long
}

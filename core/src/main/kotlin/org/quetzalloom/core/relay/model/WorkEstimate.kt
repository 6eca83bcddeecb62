package org.quetzalloom.core.relay.model

import org.quetzalloom.core.relay.exchange.RelayRequest

/** Estimates how long a backend server is busy with a prompt before the answer begins. */
public fun interface WorkEstimate {
    /** Returns the work of [request] with [model], the place of the model in its route; 0 if it is not for a model. */
    public fun of(request: RelayRequest, model: Int): Long
}

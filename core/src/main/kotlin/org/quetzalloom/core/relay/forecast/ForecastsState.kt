package org.quetzalloom.core.relay.forecast

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.quetzalloom.core.relay.routing.ServiceName

/**
 * What forecasts are learned from, beside the state of the servers.
 *
 * @property generation the pace of generation by service and model.
 * @property biases the errors of the forecasts by service.
 */
internal data class ForecastsState(
    val generation: PersistentMap<ModelOfService, GenerationPace> = persistentHashMapOf(),
    val biases: PersistentMap<ServiceName, ForecastBias> = persistentHashMapOf(),
) {
    /** A model, by its index in its route, at the servers of a service. */
    internal data class ModelOfService(val service: ServiceName, val modelIndex: Int)
}

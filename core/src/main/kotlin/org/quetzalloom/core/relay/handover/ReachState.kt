package org.quetzalloom.core.relay.handover

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentSet
import org.quetzalloom.core.relay.routing.ServiceName

/**
 * Which services this router reaches.
 *
 * @property byService what is known of each service, if its servers have not all reacted lately.
 */
internal data class ReachState(val byService: PersistentMap<ServiceName, ServerReach> = persistentMapOf()) {
    /** The services of which this router reaches no backend server. */
    val cutOffServices: PersistentSet<ServiceName>
        get() = byService.filterValues { it.cutOffAt != null }.keys.toPersistentSet()

    /** Returns whether this router reaches no backend server of [service]. */
    fun isCutOff(service: ServiceName): Boolean = byService[service]?.cutOffAt != null

    /** Returns what is known of [service]. */
    fun of(service: ServiceName): ServerReach = byService[service] ?: ServerReach()

    /** Returns the state with [reach] for [service]. */
    fun with(service: ServiceName, reach: ServerReach): ReachState = ReachState(byService.put(service, reach))
}

package org.quetzalloom.core.relay.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.relay.routing.ServiceName

/**
 * The roll-outs that this router knows.
 *
 * @property byService the latest roll-out of each service.
 * @property usualTimes how long responses of versions in regular use take.
 */
internal data class RolloutsState(
    val byService: PersistentMap<ServiceName, RolloutProgress> = persistentMapOf(),
    val usualTimes: UsualTimes = UsualTimes(),
) {
    /** The roll-outs that are neither completed nor reverted. */
    val active: List<RolloutProgress> get() = byService.values.filter { it.open }

    /** Returns the state with [progress] as the latest roll-out of its service. */
    fun with(progress: RolloutProgress): RolloutsState =
        copy(byService = byService.put(progress.order.service, progress))
}

package org.quetzalloom.core.relay.era

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.relay.access.WaitingCall
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.time.Timestamp

/**
 * The era of the platform's store. It rises each time the store comes back from an older copy, after which it gives out
 * offsets again, for other records.
 *
 * @property number the highest era that this router has heard of, or 0 if it has heard of none.
 * @property enteredAt when this router heard that the era had risen, or `null` if it knows of no earlier one.
 * @property lastReads the number of the last read of each feed that was sent before then.
 * @property unconfirmedZones the availability zones that were evacuated then, and of which nothing has been read since.
 * @property unconfirmedServices the services whose roll-outs were known then, and of which nothing has been read since.
 */
internal data class StoreEraState(
    val number: Long = 0,
    val enteredAt: Timestamp? = null,
    val lastReads: PersistentMap<Feed, Long> = persistentMapOf(),
    val unconfirmedZones: PersistentSet<AvailabilityZoneId> = persistentSetOf(),
    val unconfirmedServices: PersistentSet<ServiceName> = persistentSetOf(),
) {
    /** Returns the offset up to which the caller of [call] has read, or `null` if it is of another era. */
    fun offsetOrNull(call: WaitingCall): Long? =
        call.from.takeIf { call.era == 0L || number == 0L || call.era == number }

    /** Returns the state after [entries] have been read in this era. */
    fun confirm(entries: List<FeedEntry>): StoreEraState {
        if (unconfirmedZones.isEmpty() && unconfirmedServices.isEmpty()) return this
        val zones = entries.mapNotNull { (it as? FeedEntry.Evacuation)?.zone }
        val services = entries.mapNotNull { it.orderedServiceOrNull() }
        return copy(
            unconfirmedZones = unconfirmedZones.removeAll(zones),
            unconfirmedServices = unconfirmedServices.removeAll(services),
        )
    }

    private fun FeedEntry.orderedServiceOrNull(): ServiceName? = when (this) {
        is FeedEntry.Rollout -> order.service
        is FeedEntry.RolloutRemoved -> service
        else -> null
    }
}

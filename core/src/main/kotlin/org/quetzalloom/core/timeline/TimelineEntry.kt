package org.quetzalloom.core.timeline

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.time.Timestamp

/**
 * An event at one VM, as shown in the time line and the logs.
 *
 * @property at the time by the clock of the VM; not comparable between VMs.
 * @property name the kind of event, such as `attempt_started`.
 * @property fields the attributes of the event, the most decisive first, as the end of a long line may be cut off; the
 *   key `request` holds the identifier of the request.
 */
public data class TimelineEntry(
    public val stamp: CausalStamp,
    public val at: Timestamp,
    public val name: String,
    public val fields: PersistentMap<String, String> = persistentMapOf(),
) {
    internal companion object {
        /** Returns the entry with the text forms of [fields], in their order; leaves out those that are `null`. */
        fun of(stamp: CausalStamp, at: Timestamp, name: String, fields: Array<out Pair<String, Any?>>): TimelineEntry =
            TimelineEntry(
                stamp = stamp,
                at = at,
                name = name,
                fields = fields.mapNotNull { (key, value) -> value?.let { key to it.toString() } }.toMap()
                    .toPersistentMap(),
            )
    }
}

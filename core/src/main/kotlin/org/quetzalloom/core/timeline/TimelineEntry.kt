package org.quetzalloom.core.timeline

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.time.Timestamp

/**
 * One thing that happened at one VM.
 *
 * @property at the wall clock of the VM; not comparable between VMs.
 * @property name what happened, such as `attempt_started`.
 * @property fields what it happened to; the key `request` names the request.
 */
public data class TimelineEntry(
    public val stamp: CausalStamp,
    public val at: Timestamp,
    public val name: String,
    public val fields: PersistentMap<String, String> = persistentMapOf(),
) {
    internal companion object {
        /** Returns the entry with those of [fields] whose value is not `null`, each as text. */
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

package org.quetzalloom.core.timeline

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
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
)

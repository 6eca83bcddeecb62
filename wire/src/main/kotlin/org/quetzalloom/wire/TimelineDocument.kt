package org.quetzalloom.wire

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.core.timeline.CausalStamp
import org.quetzalloom.core.timeline.TimelineEntry

/**
 * The JSON form of [TimelineEntry].
 *
 * @property stamp the counter of the causal stamp, by which entries of different VMs are ordered.
 * @property at the time by the clock of [vm], in milliseconds since the epoch.
 */
@Serializable
public data class TimelineDocument(
    public val stamp: Long,
    public val vm: String,
    public val at: Long,
    public val name: String,
    public val fields: Map<String, String> = emptyMap(),
)

/** The response body of `GET /admin/timeline`: the most recent timeline entries of one VM, oldest first. */
@Serializable
public data class TimelineResponse(public val entries: List<TimelineDocument>)

/** Returns the JSON form of this entry. */
public fun TimelineEntry.toDocument(): TimelineDocument = TimelineDocument(
    stamp = stamp.counter,
    vm = stamp.vm.value,
    at = at.epochMilliseconds,
    name = name,
    fields = fields,
)

/**
 * Returns the timeline entry that this document describes.
 *
 * @throws IllegalArgumentException if [TimelineDocument.vm] is not a valid identifier.
 */
public fun TimelineDocument.toEntry(): TimelineEntry = TimelineEntry(
    stamp = CausalStamp(counter = stamp, vm = VmId(vm)),
    at = Timestamp(at),
    name = name,
    fields = fields.toPersistentMap(),
)

package org.quetzalloom.wire

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.core.timeline.CausalStamp
import org.quetzalloom.core.timeline.TimelineEntry

/** The text form of a time line entry. */
@Serializable
public data class TimelineDocument(
    public val stamp: Long,
    public val vm: String,
    public val at: Long,
    public val name: String,
    public val fields: Map<String, String> = emptyMap(),
)

/** Entries of the time line of one VM, oldest first. `GET /admin/timeline`. */
@Serializable
public data class TimelineResponse(public val entries: List<TimelineDocument>)

/** Returns the text form of this entry. */
public fun TimelineEntry.toDocument(): TimelineDocument = TimelineDocument(
    stamp = stamp.counter,
    vm = stamp.vm.value,
    at = at.epochMilliseconds,
    name = name,
    fields = fields,
)

/** Returns the entry that this document describes. */
public fun TimelineDocument.toEntry(): TimelineEntry = TimelineEntry(
    stamp = CausalStamp(counter = stamp, vm = VmId(vm)),
    at = Timestamp(at),
    name = name,
    fields = fields.toPersistentMap(),
)

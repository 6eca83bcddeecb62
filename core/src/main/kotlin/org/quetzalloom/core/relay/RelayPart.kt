package org.quetzalloom.core.relay

import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.core.timeline.CausalStamp
import org.quetzalloom.core.timeline.TimelineEntry

/** The transitions of a relay. */
internal typealias RelayStep = Transition<RelayState, RelayEffect>

/** A part of the relay's reducer. It may read the whole state, and is responsible for its own slice. */
internal fun interface RelayPart : Reducer<RelayState, RelayEvent, RelayEffect>

/** Returns the transition that changes nothing. */
internal fun RelayState.unchanged(): RelayStep = Transition(this)

/** Returns the transition to this state with [effects]. */
internal fun RelayState.with(vararg effects: RelayEffect): RelayStep = Transition(this, persistentListOf(*effects))

/**
 * Returns the transition that logs the event [name] with [fields], the most decisive first, under the next causal
 * stamp. Fields whose value is `null` are left out.
 */
internal fun RelayState.report(now: Timestamp, name: String, vararg fields: Pair<String, Any?>): RelayStep {
    val next = copy(stampCounter = stampCounter + 1)
    val entry = TimelineEntry.of(CausalStamp(counter = next.stampCounter, vm = settings.vm), now, name, fields)
    return next.with(RelayEffect.Report(entry))
}

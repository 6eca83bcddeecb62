package org.quetzalloom.core.timeline

import org.quetzalloom.core.event.Event
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.time.Timestamp

/** Raises the causal stamp above that of every message and log record received. */
internal object StampPart : Part {
    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step = when (event) {
        is Event.FromPeer -> state.raised(event.stamp)
        is Event.OfPlatform.LogRead -> state.raised(event.entries.maxOfOrNull { it.stamp } ?: 0)
        else -> state.unchanged()
    }

    private fun RouterState.raised(seen: Long): Step = copy(stamp = maxOf(stamp, seen)).unchanged()
}

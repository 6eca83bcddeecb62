package org.quetzalloom.core.timeline

import org.quetzalloom.core.event.Event
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.time.Timestamp

/** Raises the causal stamp to at least that of every peer message and log record received. */
internal object StampPart : Part {
    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step = when (event) {
        is Event.FromPeer -> state.withStampAtLeast(event.stamp)
        is Event.OfPlatform.LogRead -> state.withStampAtLeast(event.entries.maxOfOrNull { it.stamp } ?: 0)
        else -> state.unchanged()
    }

    private fun RouterState.withStampAtLeast(received: Long): Step = copy(stamp = maxOf(stamp, received)).unchanged()
}

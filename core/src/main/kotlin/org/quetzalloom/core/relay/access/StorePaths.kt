package org.quetzalloom.core.relay.access

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/** The failures in a row before calls to the store take a detour. A single failure may be a lost response. */
internal const val FAILURES_BEFORE_DETOUR: Int = 2

/** How long calls go through other routers. It is not shorter, as a failed direct call costs about a second. */
private const val DETOUR_MILLISECONDS = 2_500L

/** Calls the store directly from [now] on. If this ends a detour, one failure is enough for the next. */
internal fun RelayState.endDetour(now: Timestamp): RelayStep =
    if (storePath.viaRouter == null) unchanged() else setStorePath(null, FAILURES_BEFORE_DETOUR - 1, now)

/** Calls the store through [viaRouter] from [now] on, or directly if it is `null`. [failures] calls count as failed. */
internal fun RelayState.setStorePath(viaRouter: String?, failures: Int, now: Timestamp): RelayStep {
    val next = copy(
        storePath = StorePathState(
            viaRouter = viaRouter,
            failures = failures,
            pathChanges = storePath.pathChanges + 1,
            changedAt = now,
            directRetryAt = now + DETOUR_MILLISECONDS,
        ),
    )
    return next.with(RelayEffect.SetStorePath(viaRouter)).then {
        it.report(now, "store_path", "through" to (viaRouter ?: "direct"), "failures" to storePath.failures)
    }
}

package org.quetzalloom.relay.http

import io.netty.util.concurrent.EventExecutor
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** A one-shot timer that can be restarted and cancelled. Runs its action on the thread of [executor]. */
internal class RestartableTimer(private val executor: EventExecutor) {
    private var scheduled: ScheduledFuture<*>? = null

    /** Cancels a scheduled action, and schedules [action] after [milliseconds]; schedules nothing if that is `null`. */
    fun restart(milliseconds: Long?, action: () -> Unit) {
        cancel()
        scheduled = milliseconds?.let { executor.schedule(action, it, TimeUnit.MILLISECONDS) }
    }

    /** Cancels the scheduled action, if there is one. */
    fun cancel() {
        scheduled?.cancel(false)
        scheduled = null
    }
}

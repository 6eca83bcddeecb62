package org.quetzalloom.relay.http

import io.netty.util.concurrent.EventExecutor
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** At most one action that is due at some time, on the thread of [executor]. */
internal class RestartableTimer(private val executor: EventExecutor) {
    private var scheduled: ScheduledFuture<*>? = null

    /** Runs [action] after [milliseconds], in place of what was due before; nothing is due if that is `null`. */
    fun restart(milliseconds: Long?, action: () -> Unit) {
        cancel()
        scheduled = milliseconds?.let { executor.schedule(action, it, TimeUnit.MILLISECONDS) }
    }

    /** Lets nothing be due. */
    fun cancel() {
        scheduled?.cancel(false)
        scheduled = null
    }
}

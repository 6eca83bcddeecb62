package org.quetzalloom.relay.http

import io.netty.util.concurrent.EventExecutor
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** At most one action that is due at some time, on the thread of [executor]. */
internal class Countdown(private val executor: EventExecutor) {
    private var due: ScheduledFuture<*>? = null

    /** Runs [action] after [milliseconds], in place of what was due before; nothing is due if that is `null`. */
    fun restart(milliseconds: Long?, action: () -> Unit) {
        cancel()
        due = milliseconds?.let { executor.schedule(action, it, TimeUnit.MILLISECONDS) }
    }

    /** Lets nothing be due. */
    fun cancel() {
        due?.cancel(false)
        due = null
    }
}

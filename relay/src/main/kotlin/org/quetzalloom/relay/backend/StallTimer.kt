package org.quetzalloom.relay.backend

import io.netty.util.concurrent.EventExecutor
import org.quetzalloom.relay.http.RestartableTimer

/** Calls [onStall] when a timeout has passed, and then again and again until it is restarted or cancelled. */
internal class StallTimer(executor: EventExecutor, private val onStall: () -> Unit) {
    private val timer = RestartableTimer(executor)
    private var timeoutMilliseconds: Long? = null

    /** Whether the timeout does not run. It starts anew when this becomes `false`. */
    var suspended = false
        set(value) {
            field = value
            restart(timeoutMilliseconds)
        }

    /** Starts a timeout of [milliseconds] in place of any earlier one; `null` for none. */
    fun restart(milliseconds: Long?) {
        timeoutMilliseconds = milliseconds
        schedule(milliseconds.takeUnless { suspended })
    }

    /** Cancels the timeout. */
    fun cancel(): Unit = timer.cancel()

    private fun schedule(milliseconds: Long?): Unit = timer.restart(milliseconds) {
        schedule(REPEAT_MILLISECONDS)
        onStall()
    }

    private companion object {
        const val REPEAT_MILLISECONDS = 500L
    }
}

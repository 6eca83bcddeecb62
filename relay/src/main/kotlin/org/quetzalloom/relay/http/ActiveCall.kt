package org.quetzalloom.relay.http

/** A call that has been started by a [CallClient]. */
public fun interface ActiveCall {
    /**
     * Ends the call by closing its connection; does nothing if the call has ended. Must be called on the event loop's
     * thread.
     */
    public fun cancel()
}

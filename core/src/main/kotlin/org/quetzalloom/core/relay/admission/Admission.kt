package org.quetzalloom.core.relay.admission

/** Decides what becomes of requests that no backend server can take at once. */
public interface Admission {
    /** Returns whether the request may wait for a backend server, or go on waiting. */
    public fun mayWait(shortage: Shortage): Boolean

    /** Returns the time, in milliseconds, after which the caller of a refused request may retry. */
    public fun retryAfterMilliseconds(shortage: Shortage): Long
}

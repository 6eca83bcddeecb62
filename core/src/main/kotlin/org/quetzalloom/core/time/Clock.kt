package org.quetzalloom.core.time

/** A source of the current time. The core reads no clock itself: whoever drives a reducer passes the time in. */
public fun interface Clock {
    /** Returns the current time. */
    public fun now(): Timestamp
}

package org.quetzalloom.core.time

/** A source of the current time. The core reads no clock: the caller of a reducer passes the time to it. */
public fun interface Clock {
    /** Returns the current time. */
    public fun now(): Timestamp
}

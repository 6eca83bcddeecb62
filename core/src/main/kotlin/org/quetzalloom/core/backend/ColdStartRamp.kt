package org.quetzalloom.core.backend

import org.quetzalloom.core.configuration.BackendServer

/** Decides how many requests a backend server may be given at once after a start. */
public fun interface ColdStartRamp {
    /** Returns the limit for the whole fleet, [sinceStartMilliseconds] after the start of [server]. */
    public fun limit(server: BackendServer, sinceStartMilliseconds: Long): Int
}

package org.quetzalloom.core.backend

import org.quetzalloom.core.configuration.BackendServer

/** Decides how many concurrent requests a backend server may be given while it warms up after a start. */
public fun interface ColdStartRamp {
    /**
     * Returns the maximum number of concurrent requests from the whole fleet, [sinceStartMilliseconds] after the start
     * of [server].
     */
    public fun limit(server: BackendServer, sinceStartMilliseconds: Long): Int
}

package org.quetzalloom.core.backend

import org.quetzalloom.core.configuration.BackendServer

/** Raises the limit linearly from the cold capacity to the full capacity over the warm-up time. */
public data object LinearRamp : ColdStartRamp {
    override fun limit(server: BackendServer, sinceStartMilliseconds: Long): Int {
        val elapsed = sinceStartMilliseconds.coerceIn(0, server.warmUpMilliseconds)
        val rise = (server.capacity - server.coldCapacity) * elapsed
        return server.coldCapacity + (rise / server.warmUpMilliseconds.coerceAtLeast(1)).toInt()
    }
}

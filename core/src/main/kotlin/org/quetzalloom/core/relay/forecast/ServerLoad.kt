package org.quetzalloom.core.relay.forecast

import org.quetzalloom.core.relay.server.LoadReport

/**
 * What a forecast may know of a backend server.
 *
 * @property slots the number of requests that the server works on at once.
 * @property requests the number of requests at the server, as far as this router knows.
 * @property workAhead the prompts of all routers that the server has still to read, in tokens weighted by model size.
 * @property workDuration how long work takes at the server, in multiples of the usual duration.
 * @property slowness the time that the server's responses take to begin, in multiples of what [workDuration] explains.
 * @property report the server's last load report if it is recent, or `null`.
 */
public data class ServerLoad(
    public val slots: Int,
    public val requests: Int,
    public val workAhead: Long,
    public val workDuration: Double = 1.0,
    public val slowness: Double = 1.0,
    public val report: LoadReport? = null,
)

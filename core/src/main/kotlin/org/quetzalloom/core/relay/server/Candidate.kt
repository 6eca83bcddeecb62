package org.quetzalloom.core.relay.server

import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId

/**
 * A backend server that a placement may choose for a request.
 *
 * @property slots the number of requests that the server works on at once.
 * @property inFlight the number of this router's attempts in flight at the server.
 * @property load the number of requests at the server, as far as this router knows.
 * @property pendingWork the prompts of all routers that the server has still to read, as far as this router knows, in
 *   tokens weighted by model size.
 * @property failureRate the share of recent attempts at the server that failed, from 0 to 1.
 * @property slowness the time that the server's responses take to begin, in multiples of the usual time of its service.
 * @property workDuration how long work takes at the server, in multiples of the usual duration; `null` if it does not
 *   say.
 */
public data class Candidate(
    public val server: BackendServerId,
    public val zone: AvailabilityZoneId,
    public val slots: Int,
    public val inFlight: Int,
    public val load: Int,
    public val pendingWork: Long,
    public val failureRate: Double,
    public val slowness: Double = 1.0,
    public val workDuration: Double? = null,
)

package org.quetzalloom.core.relay.server

import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId

/**
 * A backend server that may get a request.
 *
 * @property inFlight this router's own attempts at it.
 * @property load the requests at it, as far as this router knows.
 * @property pendingWork the prompts that it has still to read, weighed by model, as far as this router knows.
 * @property slowness how many times as long as usual it takes to begin its answers.
 * @property failureRate the share of its recent attempts that failed.
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
)

package org.quetzalloom.core.relay.explain

import kotlinx.collections.immutable.PersistentSet
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.relay.forecast.ResponseForecast

/**
 * What a router knows of a backend server that a request could go to.
 *
 * @property exclusions why the request would not go to it; empty if it is a candidate.
 * @property rank the place at which the placement would choose it, from 1; `null` if it is none of the first ones.
 * @property forecast when it would answer, or `null` if it is not a candidate or too little is known.
 * @property load the number of requests at the server, as far as the router knows.
 * @property inFlight the number of the router's own attempts at the server.
 * @property workAhead the prompts of all routers that it has still to read, in tokens weighted by model size.
 * @property failureRate the share of recent attempts at it that failed, from 0 to 1.
 * @property slowness the time that its responses take to begin, in multiples of the usual time of its service.
 * @property loadAgeMilliseconds the age of its last load report, or `null` before the first.
 */
public data class ServerExplanation(
    public val server: BackendServerId,
    public val zone: AvailabilityZoneId,
    public val version: String,
    public val exclusions: PersistentSet<Exclusion>,
    public val rank: Int?,
    public val forecast: ResponseForecast?,
    public val slots: Int,
    public val load: Int,
    public val inFlight: Int,
    public val workAhead: Long,
    public val failureRate: Double,
    public val slowness: Double,
    public val loadAgeMilliseconds: Long?,
)

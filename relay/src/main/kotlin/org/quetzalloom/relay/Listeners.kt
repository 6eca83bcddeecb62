package org.quetzalloom.relay

import org.quetzalloom.relay.http.Address
import org.quetzalloom.relay.http.Forwarding

/**
 * Where a relay listens.
 *
 * @property callers for the requests of callers.
 * @property ready for health checks.
 * @property peers for the beacons and calls of other routers, or `null` for nowhere.
 * @property metrics for metrics, or `null` for nowhere.
 * @property forwarding the calls that other routers may make at [peers], or `null` for none.
 */
public data class Listeners(
    public val callers: Address,
    public val ready: Address,
    public val peers: Address? = null,
    public val metrics: Address? = null,
    public val forwarding: Forwarding? = null,
)

package org.quetzalloom.core.relay.routing

/**
 * A service that serves a share of a route's requests.
 *
 * @property weight the share of requests, relative to the sum of the route's weights; not negative.
 */
public data class Split(public val service: ServiceName, public val weight: Int)

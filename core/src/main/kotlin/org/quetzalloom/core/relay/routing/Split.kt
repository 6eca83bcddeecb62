package org.quetzalloom.core.relay.routing

/**
 * One service of a route.
 *
 * @property weight the share of requests, against the sum of the route's weights; not negative.
 */
public data class Split(public val service: ServiceName, public val weight: Int)

package org.quetzalloom.relay.http

/**
 * The calls that other routers may make through this one.
 *
 * @property target where they go.
 * @property paths what they may ask for; anything else is refused.
 */
public data class Forwarding(public val target: Address, public val paths: Set<String>)

package org.quetzalloom.relay.http

/**
 * Calls that this router forwards for other routers.
 *
 * @property target the server to which calls are forwarded.
 * @property paths the allowed paths; a call to any other path is answered 404.
 */
public data class Forwarding(public val target: Address, public val paths: Set<String>)

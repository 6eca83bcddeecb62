package org.quetzalloom.relay.http

/**
 * Calls that this router forwards for other routers.
 *
 * @property target the server to which calls are forwarded.
 * @property paths the allowed paths; a call to any other path is answered 404.
 * @property sharedPaths the paths among them on which equal calls that are under way share one response.
 * @property responseHeaders the names of the headers of responses that are passed on with them.
 */
public data class Forwarding(
    public val target: Address,
    public val paths: Set<String>,
    public val sharedPaths: Set<String> = emptySet(),
    public val responseHeaders: Set<String> = emptySet(),
)

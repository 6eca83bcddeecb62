package org.quetzalloom.relay

import org.quetzalloom.relay.http.Address
import org.quetzalloom.relay.http.Forwarding
import java.nio.channels.ServerSocketChannel

/**
 * The addresses on which a relay listens.
 *
 * @property callers accepts requests of callers.
 * @property callerSocket the socket for callers if it is bound to [callers] already, so that callers can connect while
 *   the relay starts; `null` to bind it at the start.
 * @property ready accepts health checks.
 * @property peers accepts the beacons (UDP) and store calls (TCP) of other routers. With `null` it accepts neither and
 *   sends no beacons.
 * @property metrics serves the metrics, or `null` to serve none.
 * @property forwarding the store calls that other routers may make through [peers], or `null` to accept none.
 */
public data class Listeners(
    public val callers: Address,
    public val ready: Address,
    public val callerSocket: ServerSocketChannel? = null,
    public val peers: Address? = null,
    public val metrics: Address? = null,
    public val forwarding: Forwarding? = null,
)

package org.quetzalloom.relay.caller

import org.quetzalloom.relay.http.Address
import java.nio.channels.ServerSocketChannel

/** Binds the socket for callers. */
public object CallerSocket {
    /** Connections that arrive before the relay accepts them wait here, so that they are not turned away. */
    private const val BACKLOG = 1_024

    /**
     * Returns a socket that is bound to [address]. Its connections wait in the system until a relay accepts them.
     *
     * Throws an [java.io.IOException] if the address cannot be bound.
     */
    public fun bind(address: Address): ServerSocketChannel {
        val socket = ServerSocketChannel.open()
        socket.bind(address.toSocketAddress(), BACKLOG)
        return socket
    }
}

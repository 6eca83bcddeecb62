package org.quetzalloom.core.relay.feed

/**
 * A log of records in the platform's store that routers follow.
 *
 * @property continuous whether it is read all the time.
 */
public enum class Feed(internal val continuous: Boolean) {
    /** Configurations, evacuations and roll-out orders, written by operators. */
    ORDERS(continuous = true),

    /** The entries of backend servers, each written by the server itself. */
    SERVERS(continuous = true),

    /** The phases of roll-outs, written by routers. */
    STATUS(continuous = false),
}

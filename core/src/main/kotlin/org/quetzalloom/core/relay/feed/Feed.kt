package org.quetzalloom.core.relay.feed

/** A log of records in the platform's store that routers follow. */
public enum class Feed {
    /** Configurations, evacuations and roll-out orders, written by operators. */
    ORDERS,

    /** The entries of backend servers, each written by the server itself. */
    SERVERS,

    /** The phases of roll-outs, written by routers. */
    STATUS,
}

package org.quetzalloom.core.relay.feed

/** A series of records in the platform's store that routers follow. */
public enum class Feed {
    /** Configurations, evacuations and roll-outs, written by operators. */
    ORDERS,

    /** The entries of backend servers, written by themselves. */
    SERVERS,

    /** The states of roll-outs, written by routers. */
    STATUS,
}

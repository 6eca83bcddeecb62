package org.quetzalloom.core.relay.urgency

/** Ranks requests that compete for backend servers. */
public fun interface Urgency {
    /** Returns the rank of [request], from 0, the most urgent, to [LEAST_URGENT]. */
    public fun rankOf(request: UrgencyRequest): Int

    public companion object {
        /** The rank of the least urgent requests. */
        public const val LEAST_URGENT: Int = 9
    }
}

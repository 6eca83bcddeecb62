package org.quetzalloom.core.request

/** Decides whether a request that arrives is taken at all. */
public fun interface AdmissionPolicy {
    /**
     * Returns whether a request of [priority] is taken.
     *
     * @param active the requests not answered yet.
     * @param limit the most requests at once.
     */
    public fun admits(priority: Priority, active: Int, limit: Int): Boolean
}

package org.quetzalloom.core.request

/** Decides by priority and load whether a new request is admitted or refused as overload. */
public fun interface AdmissionPolicy {
    /**
     * Returns whether a request of [priority] is admitted.
     *
     * @param active the number of requests that are active at this VM, without the new one.
     * @param limit the maximum number of active requests at this VM.
     */
    public fun admits(priority: Priority, active: Int, limit: Int): Boolean
}

package org.quetzalloom.core.relay.crash

import org.quetzalloom.core.time.Timestamp

/** Decides from which evidence on requests are no longer sent, and when one of them is tried again. */
public interface QuarantinePolicy {
    /** Returns whether losses of servers at the times [losses], with no answer since, are enough for a quarantine. */
    public fun isEnough(losses: Collection<Timestamp>): Boolean

    /** Returns how long after the last of [losses] losses a request is tried, in milliseconds. */
    public fun trialDelay(losses: Int): Long
}

package org.quetzalloom.core.relay.admission

/**
 * Lets each request wait for as long as it may, and names the same time to all callers.
 *
 * @property retryAfterMilliseconds the time after which a caller may retry.
 */
public data class FixedAdmission(public val retryAfterMilliseconds: Long = 250) : Admission {
    override fun mayWait(shortage: Shortage): Boolean = shortage.waitLeftMilliseconds > 0

    override fun retryAfterMilliseconds(shortage: Shortage): Long = retryAfterMilliseconds
}

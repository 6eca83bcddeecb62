package org.quetzalloom.core.relay.exchange

import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.relay.server.LoadReport

/**
 * The status and the headers of a backend server's response on which the router bases its decisions.
 *
 * @property notRun whether the backend server guarantees that it has not run the request and will not run it.
 * @property misdirected whether the response came from another backend server than the one addressed.
 * @property signed whether the response carries the backend server's signature.
 * @property confidence the model's confidence in its response, from 0 to 100, or `null` if it reported none.
 * @property load the backend server's load, or `null` if it reported none.
 * @property coldMilliseconds the rest of the backend server's warm-up, or `null` if it reported none.
 * @property leaving whether the backend server has announced that it shuts down.
 * @property retryAfterMilliseconds how long the backend server wants no requests, or `null` if it did not refuse this
 *   one or named no time.
 */
public data class ResponseHead(
    public val status: Int,
    public val notRun: Boolean = false,
    public val misdirected: Boolean = false,
    public val signed: Boolean = true,
    public val confidence: Int? = null,
    public val load: LoadReport? = null,
    public val coldMilliseconds: Long? = null,
    public val leaving: Boolean = false,
    public val retryAfterMilliseconds: Long? = null,
) {
    /** Whether the backend server failed (status 500 or above) without a guarantee that it has not run the request. */
    public val isServerFailure: Boolean get() = !notRun && status >= SERVER_FAILURE

    /** Whether the status tells callers that the request has not run, without the backend server's guarantee. */
    public val claimsNotRun: Boolean get() = !notRun && status in NOT_RUN_STATUSES

    /** Whether the status says that the configuration does not allow the request. */
    public val isNotAdmitted: Boolean get() = status in NOT_ADMITTED_STATUSES

    /** Whether the status is in the range 200 to 299. */
    public val isSuccess: Boolean get() = status in SUCCESS

    private companion object {
        const val SERVER_FAILURE = 500
        val SUCCESS = 200..299

        /** Request Timeout, Misdirected Request, Too Many Requests, Service Unavailable. */
        val NOT_RUN_STATUSES = persistentSetOf(408, 421, 429, 503)

        /** Unauthorized, Forbidden, Not Found. */
        val NOT_ADMITTED_STATUSES = persistentSetOf(401, 403, 404)
    }
}

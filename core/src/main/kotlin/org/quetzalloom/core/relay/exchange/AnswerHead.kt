package org.quetzalloom.core.relay.exchange

import org.quetzalloom.core.relay.server.LoadReport

/**
 * What a relay must know of the head of a backend server's answer.
 *
 * @property notRun whether the backend server says that it has not run the request, and will not.
 * @property misdirected whether another backend server than the one that was meant has answered.
 * @property signed whether the answer bears the backend server's signature.
 * @property confidence the model's own opinion of its answer, from 0 to 100, or `null`.
 * @property load the backend server's load, or `null`.
 * @property coldMilliseconds how much longer the backend server is cold, or `null` if it did not say.
 */
public data class AnswerHead(
    public val status: Int,
    public val notRun: Boolean = false,
    public val misdirected: Boolean = false,
    public val signed: Boolean = true,
    public val confidence: Int? = null,
    public val load: LoadReport? = null,
    public val coldMilliseconds: Long? = null,
) {
    /** Whether the backend server ran the request and failed. */
    public val isServerFailure: Boolean get() = !notRun && status >= SERVER_FAILURE

    /** Whether the request succeeded. */
    public val isSuccess: Boolean get() = status in SUCCESS

    private companion object {
        const val SERVER_FAILURE = 500
        val SUCCESS = 200..299
    }
}

package org.quetzalloom.relay.http

/**
 * Why a call has no response.
 *
 * @property problem a description for logs.
 * @property mayHaveArrived whether the request may have reached its destination, which then may have carried it out.
 */
public data class CallFailure(public val problem: String, public val mayHaveArrived: Boolean = true) {
    override fun toString(): String = problem
}

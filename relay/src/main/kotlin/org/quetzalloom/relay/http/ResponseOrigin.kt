package org.quetzalloom.relay.http

/** Which request a response names as its own. */
public enum class ResponseOrigin {
    /** The request in flight on the connection. */
    THIS_REQUEST,

    /** Another request, or none although its server names the request in every response of this kind. */
    OTHER_REQUEST,

    /** None. It can be the response to any request that was sent on the connection. */
    UNNAMED,
}

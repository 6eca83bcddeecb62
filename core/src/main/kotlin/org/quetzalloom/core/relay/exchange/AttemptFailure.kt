package org.quetzalloom.core.relay.exchange

/**
 * Why an attempt has ended without a whole answer.
 *
 * @property mayHaveArrived whether the backend server may have received the request.
 * @property serverSuspect whether the backend server itself may be gone, and not only one request or connection.
 * @property serverReacted whether anything came from the backend server at all, be it the end of a connection.
 */
public enum class AttemptFailure(
    public val mayHaveArrived: Boolean,
    public val serverSuspect: Boolean,
    public val serverReacted: Boolean = true,
) {
    /** No connection could be made. */
    NOT_CONNECTED(mayHaveArrived = false, serverSuspect = true),

    /** No more connections may be made to the backend server. */
    NO_CONNECTION_LEFT(mayHaveArrived = false, serverSuspect = false),

    /** The connection ended before the answer was whole. */
    CONNECTION_LOST(mayHaveArrived = true, serverSuspect = true),

    /** The answer was not in the protocol, belonged to another request, or bore no signature. */
    BAD_ANSWER(mayHaveArrived = true, serverSuspect = false),

    /** Nothing was heard for too long. */
    SILENT(mayHaveArrived = true, serverSuspect = true, serverReacted = false),
}

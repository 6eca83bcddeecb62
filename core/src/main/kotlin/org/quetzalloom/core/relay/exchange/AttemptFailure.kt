package org.quetzalloom.core.relay.exchange

/**
 * Why an attempt has ended without a whole answer.
 *
 * @property sent whether the backend server may have received the request.
 * @property serverSuspect whether the backend server itself may be gone, and not only one request or connection.
 * @property heard whether anything came from the backend server at all, be it the end of a connection.
 */
public enum class AttemptFailure(
    public val sent: Boolean,
    public val serverSuspect: Boolean,
    public val heard: Boolean = true,
) {
    /** No connection could be made. */
    NOT_CONNECTED(sent = false, serverSuspect = true),

    /** No more connections may be made to the backend server. */
    NO_CONNECTION_LEFT(sent = false, serverSuspect = false),

    /** The connection ended before the answer was whole. */
    CONNECTION_LOST(sent = true, serverSuspect = true),

    /** The answer was not in the protocol, belonged to another request, or bore no signature. */
    BAD_ANSWER(sent = true, serverSuspect = false),

    /** Nothing was heard for too long. */
    SILENT(sent = true, serverSuspect = true, heard = false),
}

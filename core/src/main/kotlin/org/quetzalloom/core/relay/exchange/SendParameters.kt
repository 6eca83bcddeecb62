package org.quetzalloom.core.relay.exchange

import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.WorkspaceId

/**
 * Where and how an attempt is sent, and how long the router waits for its response.
 *
 * @property server the backend server, or `null` if another router is to answer the request.
 * @property address the `host:port` of the backend server, or of the other router.
 * @property maximumConnections the number of connections that this router may have to the backend server.
 * @property timeLeftMilliseconds how long the backend server may work on the request; at least 1.
 * @property workspace the workspace of the caller's key, or `null` if the caller has no known key.
 * @property model the name of the model to ask, or `null` to forward what the caller asked for.
 * @property lastEventId the id of the last event that the caller has, or `null` to forward what the caller sent.
 * @property streaming whether the response is forwarded as it arrives; otherwise it is buffered until it is complete.
 * @property resumable whether a stream continues after the event that [lastEventId] names.
 * @property startTimeoutMilliseconds the maximum time until the response begins, or `null` for no limit.
 * @property idleTimeoutMilliseconds the maximum pause within the response, or `null` for no limit.
 * @property requiresLiveConnection whether only a new connection, or one that is known to be alive, may be used.
 * @property urgency the rank among the requests at the backend server, from 0, the most urgent, to 9; `null` to state
 *   none.
 * @property earlierRuns the number of times that the request may have run before, of which another router is told.
 */
public data class SendParameters(
    public val server: BackendServerId?,
    public val address: String,
    public val maximumConnections: Int,
    public val timeLeftMilliseconds: Long,
    public val workspace: WorkspaceId?,
    public val model: String?,
    public val lastEventId: String?,
    public val streaming: Boolean,
    public val resumable: Boolean,
    public val startTimeoutMilliseconds: Long?,
    public val idleTimeoutMilliseconds: Long?,
    public val requiresLiveConnection: Boolean,
    public val urgency: Int? = null,
    public val earlierRuns: Int = 0,
)

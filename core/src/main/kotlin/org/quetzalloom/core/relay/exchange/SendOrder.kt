package org.quetzalloom.core.relay.exchange

import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.WorkspaceId

/**
 * How one attempt is to be sent.
 *
 * @property address the `host:port` of the backend server.
 * @property maximumConnections the connections that this router may have to it.
 * @property timeLeftMilliseconds how long the backend server may work on the request.
 * @property workspace the workspace of the caller's key, or `null`.
 * @property model the model that is to answer, or `null` to pass on what the caller named.
 * @property lastEventId the last event that the caller has, or `null` to send what the caller said.
 * @property streaming whether the answer is passed on as it comes; otherwise it is held until it is whole.
 * @property startTimeoutMilliseconds the longest time until the answer begins, or `null` for no limit.
 * @property idleTimeoutMilliseconds the longest pause in the answer, or `null` for no limit.
 * @property requiresLiveConnection whether only a connection that is new or surely alive may be used.
 */
public data class SendOrder(
    public val server: BackendServerId,
    public val address: String,
    public val maximumConnections: Int,
    public val timeLeftMilliseconds: Long,
    public val workspace: WorkspaceId?,
    public val model: String?,
    public val lastEventId: String?,
    public val streaming: Boolean,
    public val startTimeoutMilliseconds: Long?,
    public val idleTimeoutMilliseconds: Long?,
    public val requiresLiveConnection: Boolean,
)

package org.quetzalloom.core.relay.exchange

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.identity.WorkspaceId
import org.quetzalloom.core.relay.handover.Handover
import org.quetzalloom.core.relay.routing.Route
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.time.Timestamp

/**
 * A request that has not been answered completely.
 *
 * @property workspace the workspace of the caller's key, or `null` if the caller has no known key.
 * @property deadlineAt when the request is ended if its response is not complete.
 * @property waitUntil the time until which the request may wait for a backend server; after it, the request is refused.
 * @property modelIndex the index, among the models of the route, of the model to ask.
 * @property attempt the attempt in flight at a backend server, or `null` if there is none.
 * @property handover the router that the request was handed over to, or `null` if it was not.
 * @property failedRouters the routers that did not answer the request; it is not handed over to them again.
 * @property attempts the number of attempts made.
 * @property runs the number of attempts that have ended and may have run the request.
 * @property triedServers the backend servers that failed or refused the request; it is not sent to them again.
 * @property mayHaveRun whether a backend server may have run the request.
 * @property headForwarded whether a response is being forwarded to the caller; its first byte may still be due.
 * @property lastEventId the id of the last event that the caller has, or `null` before the first.
 * @property escalation the decision about the latest response with a confidence, or `null` before one.
 */
internal data class Exchange(
    val id: ExchangeId,
    val request: RelayRequest,
    val route: Route,
    val service: ServiceName,
    val workspace: WorkspaceId?,
    val arrivedAt: Timestamp,
    val deadlineAt: Timestamp,
    val waitUntil: Timestamp,
    val modelIndex: Int = 0,
    val attempt: Attempt? = null,
    val handover: Handover? = null,
    val failedRouters: PersistentSet<VmId> = persistentSetOf(),
    val attempts: Int = 0,
    val runs: Int = 0,
    val triedServers: PersistentSet<BackendServerId> = persistentSetOf(),
    val mayHaveRun: Boolean = false,
    val headForwarded: Boolean = false,
    val lastEventId: String? = null,
    val escalation: EscalationDecision? = null,
) {
    /** Whether the request has been sent nowhere and waits for a backend server. */
    val isWaiting: Boolean get() = attempt == null && handover == null

    /** The exchange with its attempt in flight, or `null` if it has none. */
    val currentAttemptOrNull: CurrentAttempt? get() = attempt?.let { CurrentAttempt(this, it) }

    /** The name of the model to ask, or `null` if the router does not choose the model. */
    val modelName: String? get() = if (request.routerChoosesModel) route.models.getOrNull(modelIndex) else null
}

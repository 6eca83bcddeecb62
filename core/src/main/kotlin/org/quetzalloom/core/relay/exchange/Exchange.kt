package org.quetzalloom.core.relay.exchange

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.WorkspaceId
import org.quetzalloom.core.relay.routing.Route
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.time.Timestamp

/**
 * A request that has not been answered yet.
 *
 * @property deadlineAt when the caller gets an answer at the latest.
 * @property waitUntil when the request is refused if no backend server has taken it.
 * @property modelIndex the place of the model that is to answer, among those of the route.
 * @property attempt the attempt under way, or `null` while the request waits.
 * @property attempts how many were made.
 * @property runs how many of them may have run.
 * @property tried the backend servers that failed or refused it.
 * @property mayHaveRun whether some backend server may have run it.
 * @property headForwarded whether the caller has got the head of an answer.
 * @property lastEventId the last event that the caller has, or `null`.
 * @property escalation what decided about the answer of the model asked last, or `null` before one.
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
    val attempts: Int = 0,
    val runs: Int = 0,
    val tried: PersistentSet<BackendServerId> = persistentSetOf(),
    val mayHaveRun: Boolean = false,
    val headForwarded: Boolean = false,
    val lastEventId: String? = null,
    val escalation: EscalationDecision? = null,
) {
    /** The name of the model that is to answer, or `null` if the caller names it. */
    val modelName: String? get() = if (request.routerChoosesModel) route.models.getOrNull(modelIndex) else null
}

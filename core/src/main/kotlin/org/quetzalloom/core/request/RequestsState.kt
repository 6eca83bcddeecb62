package org.quetzalloom.core.request

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.identity.AttemptId
import org.quetzalloom.core.identity.RequestId

/**
 * The slice of [RequestsPart].
 *
 * @property active the requests that are not answered yet.
 * @property waiting those of [active] that do not run at a backend server.
 * @property attempts the request of each attempt under way.
 * @property attemptsMade the number of attempts since the start.
 * @property retryBudget the retries that may be made now.
 */
internal data class RequestsState(
    val active: PersistentMap<RequestId, ActiveRequest> = persistentMapOf(),
    val waiting: PersistentSet<RequestId> = persistentSetOf(),
    val attempts: PersistentMap<AttemptId, RequestId> = persistentMapOf(),
    val attemptsMade: Long = 0,
    val retryBudget: Double = MAX_RETRY_BUDGET,
) {
    fun byAttemptOrNull(attempt: AttemptId): ActiveRequest? = attempts[attempt]?.let { active[it] }

    fun put(request: ActiveRequest): RequestsState = copy(
        active = active.put(request.id, request),
        waiting = if (request.phase is Phase.Running) waiting.remove(request.id) else waiting.add(request.id),
    )

    fun remove(request: RequestId): RequestsState =
        copy(active = active.remove(request), waiting = waiting.remove(request))

    /** Returns the state with [retries] more allowed, or fewer where the number is negative. */
    fun addToRetryBudget(retries: Double): RequestsState =
        copy(retryBudget = (retryBudget + retries).coerceAtMost(MAX_RETRY_BUDGET))

    private companion object {
        const val MAX_RETRY_BUDGET = 20.0
    }
}

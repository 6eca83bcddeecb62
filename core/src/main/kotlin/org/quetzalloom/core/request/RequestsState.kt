package org.quetzalloom.core.request

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.identity.AttemptId
import org.quetzalloom.core.identity.RequestId

/**
 * The state owned by [RequestsPart].
 *
 * @property active the requests whose answer is not complete yet, by id.
 * @property waiting the ids of those of [active] that have no running attempt.
 * @property attempts the request of each running attempt.
 * @property attemptsMade the number of attempts since this VM started; numbers the next attempt.
 * @property retryBudget the number of retries that may be made now. It starts at its maximum, and each new request adds
 *   `retryBudgetRatio` to it.
 */
internal data class RequestsState(
    val active: PersistentMap<RequestId, ActiveRequest> = persistentMapOf(),
    val waiting: PersistentSet<RequestId> = persistentSetOf(),
    val attempts: PersistentMap<AttemptId, RequestId> = persistentMapOf(),
    val attemptsMade: Long = 0,
    val retryBudget: Double = MAX_RETRY_BUDGET,
) {
    /** Returns the request that runs as [attempt], or `null` if the attempt has ended. */
    fun byAttemptOrNull(attempt: AttemptId): ActiveRequest? = attempts[attempt]?.let { active[it] }

    /** Returns the state with [request] added, or replaced if it is there already. */
    fun put(request: ActiveRequest): RequestsState = copy(
        active = active.put(request.id, request),
        waiting = if (request.phase is Phase.Running) waiting.remove(request.id) else waiting.add(request.id),
    )

    /** Returns the state without [request]; its attempt, if one is running, is not released. */
    fun remove(request: RequestId): RequestsState =
        copy(active = active.remove(request), waiting = waiting.remove(request))

    /** Returns the state with [retries] added to the budget, up to its maximum; a negative number spends retries. */
    fun addToRetryBudget(retries: Double): RequestsState =
        copy(retryBudget = (retryBudget + retries).coerceAtMost(MAX_RETRY_BUDGET))

    private companion object {
        const val MAX_RETRY_BUDGET = 20.0
    }
}

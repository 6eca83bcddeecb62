package org.quetzalloom.core.relay.urgency

/**
 * Ranks by priority, and within a priority by what a response is still worth to the caller.
 *
 * Each priority has two ranks, so that one step moves a request before or behind the new ones of its own priority only.
 * Requests that were sent before come first, and so do those that may still meet their target but have little of it
 * left. One that has missed its target is worth less and yields, until half of its time has passed; from then on it
 * rises again. As each further attempt rises by a step, no request stays behind more urgent ones for ever.
 *
 * @property agingShare the share of its time after which a request rises although its target is missed.
 */
public data class TargetUrgency(public val agingShare: Double = 0.5) : Urgency {
    override fun rankOf(request: UrgencyRequest): Int {
        val priority = request.workspacePriority ?: request.routePriority
        val base = FIRST_RANK + RANKS_PER_PRIORITY * priority.coerceIn(0, LAST_PRIORITY)
        return (base + routeStep(request) - continuationSteps(request) + targetStep(request))
            .coerceIn(0, Urgency.LEAST_URGENT)
    }

    /** Orders the routes within one workspace. */
    private fun routeStep(request: UrgencyRequest): Int =
        request.workspacePriority?.let { request.routePriority.compareTo(it) } ?: 0

    private fun continuationSteps(request: UrgencyRequest): Int =
        if (request.resumed) MAXIMUM_STEPS else request.attempts.coerceAtMost(MAXIMUM_STEPS)

    private fun targetStep(request: UrgencyRequest): Int = when {
        request.resumed || request.elapsedMilliseconds * 2 < request.targetMilliseconds -> 0
        request.elapsedMilliseconds < request.targetMilliseconds -> -1
        request.elapsedMilliseconds < agingShare * request.limitMilliseconds -> 1
        else -> -1
    }

    private companion object {
        const val FIRST_RANK = 2
        const val RANKS_PER_PRIORITY = 2
        const val LAST_PRIORITY = 3
        const val MAXIMUM_STEPS = 2
    }
}

package org.quetzalloom.core.relay.model

import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.routing.Route

/**
 * Asks the smallest model first, and the largest one if the confidence of the response is below a threshold and the
 * largest could still answer in time.
 *
 * While backend servers are busy, a second response would be late and would delay all others as well, so the first
 * response is kept. A request that may not run twice goes to the largest model at once.
 *
 * @property threshold the confidence below which a response is dropped, for a request whose prompt has the usual share
 *   of the work.
 * @property promptPenalty how much the threshold differs between a request that is all output and one that is all
 *   prompt. It is lower for long prompts, as reading them again costs more.
 * @property maximumStartTargets the maximum time from the request's arrival until the second response begins, in
 *   targets of the route.
 * @property maximumQueueShare the maximum time that the prompts ahead may take to read, as a share of the route's
 *   target. A queue at the least busy backend server means that all are busy, and that each second response delays
 *   first ones.
 */
public data class ConfidenceCascade(
    public val threshold: Int = 50,
    public val promptPenalty: Double = 20.0,
    public val maximumStartTargets: Double = 1.0,
    public val maximumQueueShare: Double = 0.05,
) : ModelChoice {
    override fun firstModel(route: Route, request: RelayRequest): Int =
        if (route.mayRunAgain && route.maximumAttempts > 1) 0 else route.models.lastIndex

    override fun nextOrNull(
        route: Route,
        request: RelayRequest,
        response: ModelResponse,
        latencies: ModelLatencyEstimate,
    ): Int? = route.models.lastIndex.takeIf {
        response.modelIndex < it && response.confidence < confidenceThreshold(request) && route.allows(it, latencies)
    }

    private fun confidenceThreshold(request: RelayRequest): Double {
        val prompt = request.promptTokens.toDouble()
        val total = prompt + ANSWER_TOKEN_WEIGHT * request.outputTokens
        val promptShare = if (total > 0) prompt / total else USUAL_PROMPT_SHARE
        return threshold + promptPenalty * (USUAL_PROMPT_SHARE - promptShare)
    }

    private fun Route.allows(model: Int, latencies: ModelLatencyEstimate): Boolean =
        latencies.queueMilliseconds <= maximumQueueShare * targetMilliseconds &&
            latencies.startMilliseconds(model) <= maximumStartTargets * targetMilliseconds

    private companion object {
        /** A token of the response takes as long as this many tokens of the prompt. */
        const val ANSWER_TOKEN_WEIGHT = 10

        /** The share of the prompt in a request's work for which the threshold is [threshold]. */
        const val USUAL_PROMPT_SHARE = 0.7
    }
}

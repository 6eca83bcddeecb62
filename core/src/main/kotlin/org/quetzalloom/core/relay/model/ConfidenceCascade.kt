package org.quetzalloom.core.relay.model

import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.routing.Route

/**
 * Asks the smallest model first. If the confidence of its response is below a threshold, asks the smallest of the other
 * models that can answer in time and is expected to be confident enough, or else the largest one.
 *
 * While backend servers are busy, a second response would be late and would delay all others as well, so the first
 * response is kept. A request that can have no second response goes to the largest model that can answer it with time
 * to spare; one that may not run twice goes to the largest model in any case.
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
 * @property middleMargin how far above the threshold the expected confidence of a model between the smallest and the
 *   largest has to be, as a third response costs more than the larger model would have.
 * @property maximumFirstStartTargets the maximum time until the response of a larger model begins that is asked first,
 *   in targets of the route.
 * @property maximumMedianQueueShare the maximum time that the prompts ahead may take to read at the median backend
 *   server when a larger model is asked first, as a share of the route's target.
 */
public data class ConfidenceCascade(
    public val threshold: Int = 50,
    public val promptPenalty: Double = 20.0,
    public val maximumStartTargets: Double = 1.0,
    public val maximumQueueShare: Double = 0.05,
    public val middleMargin: Double = 3.0,
    public val maximumFirstStartTargets: Double = 0.5,
    public val maximumMedianQueueShare: Double = 0.05,
) : ModelChoice {
    override fun firstModel(route: Route, request: RelayRequest, outlook: ModelOutlook): Int = when {
        !route.mayRunAgain || route.maximumAttempts <= 1 -> route.models.lastIndex
        outlook.allowsSecondResponse -> 0
        else -> route.models.indices.lastOrNull { route.allowsFirst(it, outlook.latencies) } ?: 0
    }

    override fun nextOrNull(
        route: Route,
        request: RelayRequest,
        response: ModelResponse,
        outlook: ModelOutlook,
    ): Int? {
        val required = confidenceThreshold(request)
        if (response.confidence >= required) return null
        return (response.modelIndex + 1..route.models.lastIndex).firstOrNull { model ->
            val sufficient = model == route.models.lastIndex ||
                response.confidence + route.expectedGain(response.modelIndex, model, outlook) >= required + middleMargin
            sufficient && route.allows(model, outlook.latencies)
        }
    }

    private fun Route.expectedGain(from: Int, to: Int, outlook: ModelOutlook): Double =
        outlook.confidenceGains.expected(ModelPair(models[from], models[to]))

    private fun confidenceThreshold(request: RelayRequest): Double {
        val prompt = request.promptTokens.toDouble()
        val total = prompt + ANSWER_TOKEN_WEIGHT * request.outputTokens
        val promptShare = if (total > 0) prompt / total else USUAL_PROMPT_SHARE
        return threshold + promptPenalty * (USUAL_PROMPT_SHARE - promptShare)
    }

    private fun Route.allows(model: Int, latencies: ModelLatencyEstimate): Boolean =
        latencies.queueMilliseconds <= maximumQueueShare * targetMilliseconds &&
            latencies.startMilliseconds(model) <= maximumStartTargets * targetMilliseconds

    /**
     * Returns whether [model] may be asked first: without the response of a smaller one, nothing tells whether it is
     * needed, so there has to be time to spare.
     */
    private fun Route.allowsFirst(model: Int, latencies: ModelLatencyEstimate): Boolean =
        latencies.medianQueueMilliseconds <= maximumMedianQueueShare * targetMilliseconds &&
            latencies.startMilliseconds(model) <= maximumFirstStartTargets * targetMilliseconds

    private companion object {
        /** A token of the response takes as long as this many tokens of the prompt. */
        const val ANSWER_TOKEN_WEIGHT = 10

        /** The share of the prompt in a request's work for which the threshold is [threshold]. */
        const val USUAL_PROMPT_SHARE = 0.7
    }
}

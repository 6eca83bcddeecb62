package org.quetzalloom.standins.load

/**
 * The settings of the load tool.
 *
 * @property targets the host and port of each router or engine, used in turn.
 * @property direct whether the targets are engines, which are called without a router.
 * @property requestsPerSecond the rate at which requests start, whether or not earlier ones have ended.
 * @property durationMilliseconds the time during which requests are started.
 * @property workspace the workspace of all requests.
 * @property model the model requested from routers.
 * @property version the version requested from engines; routers choose the version themselves.
 * @property maximumTokens the maximum number of tokens of an answer.
 * @property commandPercent the percentage of requests that are commands; the rest are completions.
 * @property commandPath the path of the commands.
 * @property sessions the number of sessions over which completions are spread, or 0 for none.
 * @property seed the seed of prompts, idempotency keys and sessions. Two runs that share it also share their keys.
 */
data class LoadSettings(
    val targets: List<String>,
    val direct: Boolean = false,
    val requestsPerSecond: Int = 20,
    val durationMilliseconds: Long = 5_000,
    val workspace: String = "",
    val model: String = "auto",
    val version: String? = null,
    val maximumTokens: Int = 32,
    val commandPercent: Int = 0,
    val commandPath: String = "",
    val sessions: Int = 0,
    val seed: Long = 1,
)

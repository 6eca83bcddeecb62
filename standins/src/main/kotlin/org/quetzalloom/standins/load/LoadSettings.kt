package org.quetzalloom.standins.load

/**
 * What the load tool does.
 *
 * @property targets host and port of each router, used in turn.
 * @property direct whether the targets are engines, which are called without a router.
 * @property requestsPerSecond the rate at which requests start, whether or not earlier ones have ended.
 * @property durationMilliseconds how long requests start.
 * @property workspace the workspace of all requests.
 * @property model the model asked for.
 * @property version the version that is to answer, or `null` if any may.
 * @property maximumTokens the longest answer asked for.
 * @property commandPercent the share of requests that are commands.
 * @property commandPath the path of the commands.
 * @property sessions the number of sessions over which completions are spread, or 0 for none.
 * @property seed decides the prompts.
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

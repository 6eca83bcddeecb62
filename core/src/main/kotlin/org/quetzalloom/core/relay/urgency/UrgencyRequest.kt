package org.quetzalloom.core.relay.urgency

/**
 * What a rank may depend on.
 *
 * @property routePriority the priority of the route; 0 is the most urgent.
 * @property workspacePriority the priority of the workspace, which goes before that of the route; `null` for none.
 * @property attempts the number of attempts made before; each was refused, has failed or was not good enough.
 * @property resumed whether the caller has the beginning of the response.
 * @property elapsedMilliseconds the time since the request arrived.
 * @property targetMilliseconds the time from the arrival within which the response should begin.
 * @property limitMilliseconds the time from the arrival after which the request is ended.
 */
public data class UrgencyRequest(
    public val routePriority: Int,
    public val workspacePriority: Int? = null,
    public val attempts: Int = 0,
    public val resumed: Boolean = false,
    public val elapsedMilliseconds: Long = 0,
    public val targetMilliseconds: Long,
    public val limitMilliseconds: Long,
)

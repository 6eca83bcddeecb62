package org.quetzalloom.core.relay.explain

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import org.quetzalloom.core.identity.WorkspaceId
import org.quetzalloom.core.relay.routing.ServiceName

/**
 * Where a request would go now, and why.
 *
 * @property verdict what would happen to the request.
 * @property route the name of the route that it takes, or `null` if there is none.
 * @property service the service that it would go to, or `null` if it would be refused before that is chosen.
 * @property workspace the workspace of its key, or `null` if it has no known key.
 * @property rollout the roll-out of the service, or `null` if there is none.
 * @property servers the first servers of the service: candidates by rank, then the others.
 * @property serverCount the number of known servers of the service.
 * @property exclusionCounts how many servers are left out for each reason.
 */
public data class Explanation(
    public val verdict: Verdict,
    public val route: String?,
    public val service: ServiceName?,
    public val workspace: WorkspaceId?,
    public val rollout: RolloutExplanation?,
    public val servers: PersistentList<ServerExplanation>,
    public val serverCount: Int,
    public val exclusionCounts: PersistentMap<Exclusion, Int>,
    public val beliefs: Beliefs,
)

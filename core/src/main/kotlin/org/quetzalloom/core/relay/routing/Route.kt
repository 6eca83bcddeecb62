package org.quetzalloom.core.relay.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * How requests with a certain host and path prefix are served.
 *
 * @property pathPrefix the prefix of the path; begins and ends with a slash.
 * @property splits the services that serve the route, each with its weight; never empty.
 * @property idempotent whether a request may run more than once.
 * @property streaming whether responses are streams of events.
 * @property resumable whether another backend server may resume a broken stream after the last event that was
 *   forwarded.
 * @property timeoutMilliseconds the maximum time until the caller has the complete response.
 * @property targetMilliseconds the target time to the response, or to the first event of a stream; a later one is worth
 *   less.
 * @property targetGapMilliseconds the maximum pause between two events for which a stream counts as on time; 0 if the
 *   route is not streaming.
 * @property priority the priority of waiting requests; 0 is the most urgent.
 * @property models the models that may answer, from the smallest to the largest; empty if the caller names the model.
 * @property maximumAttempts the maximum number of backend servers that may run a request.
 * @property public whether requests need no API key.
 */
public data class Route(
    public val name: String,
    public val host: String,
    public val pathPrefix: String,
    public val splits: PersistentList<Split>,
    public val idempotent: Boolean,
    public val streaming: Boolean = false,
    public val resumable: Boolean = false,
    public val timeoutMilliseconds: Long,
    public val targetMilliseconds: Long,
    public val targetGapMilliseconds: Long = 0,
    public val priority: Int = 0,
    public val models: PersistentList<String> = persistentListOf(),
    public val maximumAttempts: Int = 1,
    public val public: Boolean = false,
) {
    /** Whether a request that may have run may be sent to a backend server again. */
    public val mayRunAgain: Boolean get() = idempotent || resumable
}

package org.quetzalloom.core.relay.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * Requests of one host and path prefix, and how they are served.
 *
 * @property pathPrefix begins and ends with a slash.
 * @property splits the services that serve the route, each with its weight; never empty.
 * @property idempotent whether a request may run more than once.
 * @property streaming whether answers are series of events.
 * @property resumable whether a broken stream may go on elsewhere after the last event that was passed on.
 * @property timeoutMilliseconds the longest time that a caller is kept waiting for the whole answer.
 * @property targetMilliseconds the time within which an answer, or its first event, is worth most.
 * @property targetGapMilliseconds the longest pause between two events for which a stream is on time; 0 if not
 *   streaming.
 * @property priority 0 is the most urgent.
 * @property models the models that may answer, smallest first; empty where the caller names the model.
 * @property maximumAttempts the most backend servers that one request may be sent to.
 * @property public whether the route needs no key.
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
    /** Whether a request that may have run may be sent once more. */
    public val mayRunAgain: Boolean get() = idempotent || resumable
}

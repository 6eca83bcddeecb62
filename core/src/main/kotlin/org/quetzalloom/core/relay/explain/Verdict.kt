package org.quetzalloom.core.relay.explain

import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.identity.BackendServerId

/** What would happen to a request that arrived now. */
public sealed interface Verdict {
    /** It would be sent to [server], which runs [version]; [model] is asked, if the router chooses the model. */
    public data class Sent(
        public val server: BackendServerId,
        public val version: String,
        public val model: String?,
    ) : Verdict

    /**
     * It would wait for a backend server, and be refused as [refusal] says if nothing changed for [milliseconds].
     */
    public data class Waits(public val milliseconds: Long, public val refusal: Refused?) : Verdict

    /**
     * It would be refused.
     *
     * @property retryAfterMilliseconds the time after which the caller may retry, or `null` if none would be named.
     */
    public data class Refused(
        public val kind: ErrorKind,
        public val detail: String,
        public val retryAfterMilliseconds: Long?,
    ) : Verdict
}

package org.quetzalloom.core.backend

import org.quetzalloom.core.identity.BackendServerId

/**
 * A backend server that has room for a request now.
 *
 * @property load the number of requests that it is known to run, as a share of its capacity; 1.0 is fully loaded.
 * @property sameZone whether it is in the availability zone of this VM.
 */
public data class ServerCandidate(
    public val server: BackendServerId,
    public val load: Double,
    public val sameZone: Boolean,
)

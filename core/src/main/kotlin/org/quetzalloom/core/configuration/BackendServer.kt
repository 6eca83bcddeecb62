package org.quetzalloom.core.configuration

import kotlinx.collections.immutable.PersistentSet
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VersionId

/**
 * One replica that runs requests.
 *
 * @property address host and port, such as `127.0.0.1:9001`.
 * @property versions the versions that it serves.
 * @property capacity the requests that it bears at once when warm, from the whole fleet.
 * @property coldCapacity the requests that it bears at once just after a start, from the whole fleet.
 * @property warmUpMilliseconds the time from a start until it bears [capacity].
 * @property checksFencing whether it refuses an order that carries a lower fencing number than it has seen.
 * @property leaving whether it receives no new work because it is about to be taken away.
 */
public data class BackendServer(
    public val id: BackendServerId,
    public val zone: AvailabilityZoneId,
    public val address: String,
    public val versions: PersistentSet<VersionId>,
    public val capacity: Int,
    public val coldCapacity: Int,
    public val warmUpMilliseconds: Long,
    public val checksFencing: Boolean = false,
    public val leaving: Boolean = false,
)

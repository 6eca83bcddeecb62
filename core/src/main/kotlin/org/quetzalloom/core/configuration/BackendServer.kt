package org.quetzalloom.core.configuration

import kotlinx.collections.immutable.PersistentSet
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VersionId

/**
 * A replica that runs requests of one or more versions.
 *
 * @property address the host and port, such as `127.0.0.1:9001`.
 * @property versions the versions that it serves.
 * @property capacity the maximum number of concurrent requests when warm, from all VMs together.
 * @property coldCapacity the maximum number of concurrent requests just after a start, from all VMs together.
 * @property warmUpMilliseconds the time from a start until it can take [capacity] requests.
 * @property checksFencing whether it refuses a call whose fencing number is lower than the highest it has seen.
 * @property leaving whether it is about to be removed and receives no new requests.
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

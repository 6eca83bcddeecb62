package org.quetzalloom.core.relay.explain

/**
 * How recent what a router believes is.
 *
 * @property configurationVersion the configuration in force, or `null` before the first.
 * @property serversAgeMilliseconds the time since the list of backend servers was last read, or `null` before that.
 * @property storeFailures the number of failed calls to the store in a row.
 * @property members the number of routers in the group.
 * @property routersHeard the number of other routers of which a beacon is kept.
 * @property oldestBeaconMilliseconds the age of the oldest of these beacons, or `null` if there is none.
 */
public data class Beliefs(
    public val configurationVersion: Long?,
    public val serversAgeMilliseconds: Long?,
    public val storeFailures: Int,
    public val members: Int,
    public val routersHeard: Int,
    public val oldestBeaconMilliseconds: Long?,
)

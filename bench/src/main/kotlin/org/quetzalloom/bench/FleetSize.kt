package org.quetzalloom.bench

/**
 * The size of a synthetic fleet.
 *
 * @property vms the number of VMs with a router.
 * @property replicas the number of backend servers.
 */
internal data class FleetSize(
    val vms: Int,
    val replicas: Int,
    val versions: Int,
    val workspaces: Int,
)

package org.quetzalloom.bench

/** A size to measure at. */
internal data class FleetSize(
    val vms: Int,
    val replicas: Int,
    val versions: Int,
    val workspaces: Int,
)

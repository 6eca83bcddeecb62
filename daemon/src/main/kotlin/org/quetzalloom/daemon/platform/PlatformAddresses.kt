package org.quetzalloom.daemon.platform

/** Host and port of each platform service. */
internal data class PlatformAddresses(
    val log: String,
    val vms: String,
    val ratings: String,
)

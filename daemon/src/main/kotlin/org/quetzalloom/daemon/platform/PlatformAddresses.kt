package org.quetzalloom.daemon.platform

/**
 * Host and port of each platform service.
 *
 * @property log the log.
 * @property vms the list of VMs.
 * @property ratings the service that rates answers.
 */
internal data class PlatformAddresses(
    val log: String,
    val vms: String,
    val ratings: String,
)

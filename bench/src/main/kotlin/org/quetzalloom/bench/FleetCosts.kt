package org.quetzalloom.bench

import kotlinx.serialization.Serializable

/**
 * The costs of one VM's reducer at one fleet size. Times are CPU time in nanoseconds.
 *
 * @property homes the number of backend servers that one VM may send requests to.
 * @property tickNanoseconds the time of one tick without requests in flight.
 * @property digestNanoseconds the time of one digest from a peer that brings nothing new.
 * @property loadNanoseconds the time of one load report.
 * @property changeNanoseconds the time of one configuration change read from the log, including the reassignment of
 *   backend servers to VMs.
 * @property requestNanoseconds the time of one request from its arrival to its end, without chunks of its answer, and
 *   of one tick.
 * @property tokenNanoseconds the time of one chunk of an answer.
 * @property commandNanoseconds the time of the intent and the outcome of another VM's command, read from the log.
 * @property digestBytes the size of one digest between VMs, as JSON.
 * @property changeBytes the size of one zone change in the log, as JSON.
 * @property configurationBytes the size of the whole configuration, as JSON.
 * @property billBytes the size of one bill in the log, as JSON.
 * @property commandBytes the size of the intent and the outcome of one command in the log, as JSON.
 * @property stateBytes the size of the state in memory without requests in flight.
 * @property requestBytes the size of one request in flight in memory.
 * @property commandStateBytes the size of one remembered command in memory.
 */
@Serializable
internal data class FleetCosts(
    val vms: Int,
    val replicas: Int,
    val homes: Int,
    val tickNanoseconds: Long,
    val digestNanoseconds: Long,
    val loadNanoseconds: Long,
    val changeNanoseconds: Long,
    val requestNanoseconds: Long,
    val tokenNanoseconds: Long,
    val commandNanoseconds: Long,
    val digestBytes: Int,
    val changeBytes: Int,
    val configurationBytes: Int,
    val billBytes: Int,
    val commandBytes: Int,
    val stateBytes: Long,
    val requestBytes: Long,
    val commandStateBytes: Long,
)

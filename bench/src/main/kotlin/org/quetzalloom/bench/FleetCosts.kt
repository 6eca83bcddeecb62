package org.quetzalloom.bench

import kotlinx.serialization.Serializable

/**
 * What was measured at one size. Times are processor time in nanoseconds.
 *
 * @property homes the replicas that one VM may send to.
 * @property tickNanoseconds one tick while nothing is under way.
 * @property digestNanoseconds one digest of a peer that tells nothing new.
 * @property loadNanoseconds one load report.
 * @property changeNanoseconds one configuration change read from the log, with the replicas assigned anew.
 * @property requestNanoseconds one request from its arrival to its end, without its tokens.
 * @property tokenNanoseconds one piece of an answer.
 * @property commandNanoseconds one command of another VM read from the log: intent and outcome.
 * @property digestBytes one digest between VMs, as JSON.
 * @property changeBytes one change of a zone in the log, as JSON.
 * @property configurationBytes the whole configuration, as JSON.
 * @property billBytes one bill in the log, as JSON.
 * @property commandBytes intent and outcome of one command in the log, as JSON.
 * @property stateBytes the state in memory while nothing is under way.
 * @property requestBytes one request under way in memory.
 * @property commandStateBytes one remembered command in memory.
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

package org.quetzalloom.relay.peer

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.peer.PeerBeacon
import org.quetzalloom.core.relay.peer.RolloutReport
import org.quetzalloom.core.relay.rollout.OutcomeSums
import org.quetzalloom.core.relay.rollout.TimingSums
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.relay.server.LeavingReport

/** Encodes and decodes beacons as JSON. */
internal object BeaconFormat {
    @Serializable
    private data class Document(
        val vm: String,
        val sequence: Long,
        val work: Map<String, Long>,
        val durations: Map<String, Int> = emptyMap(),
        val rollouts: List<Rollout> = emptyList(),
        val crashes: List<CrashDocument> = emptyList(),
        val leaving: List<Leaving> = emptyList(),
        val callerPort: Int? = null,
        val storeReadMillisecondsAgo: Long? = null,
    )

    @Serializable
    private data class Leaving(val server: String, val startedAt: Long, val sequence: Long? = null)

    @Serializable
    private data class Rollout(
        val service: String,
        val version: String,
        val ageMilliseconds: Long,
        val old: Outcomes,
        val new: Outcomes,
        val condemned: Boolean,
        val completion: Completion? = null,
        val oldSessions: List<Int> = emptyList(),
        val heavySessions: List<Int> = emptyList(),
        val newSessions: Map<Int, Int> = emptyMap(),
    )

    @Serializable
    private class Completion(val proposal: Long?, val agreement: Long?, val agreedWith: String?)

    @Serializable
    private class Outcomes(
        val answers: Int,
        val failures: Int,
        val logLatency: Double,
        val starts: Timings? = null,
        val events: Timings? = null,
    )

    @Serializable
    private class Timings(val count: Int, val excess: Double, val excessSquares: Double)

    private const val THOUSAND = 1_000.0
    private val json = Json { ignoreUnknownKeys = true }

    /** Returns [beacon] as JSON. */
    fun encode(beacon: PeerBeacon): String = json.encodeToString(
        Document(
            vm = beacon.vm.value,
            sequence = beacon.sequence,
            work = beacon.work.entries.associate { it.key.value to it.value },
            durations = beacon.durations.entries.associate { it.key.value to it.value },
            rollouts = beacon.rollouts.map { it.toDocument() },
            crashes = beacon.crashes.map { CrashDocument.of(it) },
            leaving = beacon.leaving.map { Leaving(it.server.value, it.startedAt, it.sequence) },
            callerPort = beacon.callerPort,
            storeReadMillisecondsAgo = beacon.storeReadMillisecondsAgo,
        ),
    )

    /** Decodes the beacon in [text]; ignores unknown fields. Throws [IllegalArgumentException] if [text] is not one. */
    fun decode(text: String): PeerBeacon {
        val document = json.decodeFromString<Document>(text)
        return PeerBeacon(
            vm = VmId(document.vm),
            sequence = document.sequence,
            work = document.work.entries.associate { BackendServerId(it.key) to it.value }.toPersistentMap(),
            durations = document.durations.entries.associate { BackendServerId(it.key) to it.value }.toPersistentMap(),
            rollouts = document.rollouts.map { it.toReport() }.toPersistentList(),
            crashes = document.crashes.map { it.toReport() }.toPersistentList(),
            leaving = document.leaving
                .map { LeavingReport(BackendServerId(it.server), it.startedAt, it.sequence) }.toPersistentList(),
            callerPort = document.callerPort,
            storeReadMillisecondsAgo = document.storeReadMillisecondsAgo,
        )
    }

    private fun RolloutReport.toDocument(): Rollout = Rollout(
        service = service.value,
        version = version,
        ageMilliseconds = ageMilliseconds,
        old = old.toDocument(),
        new = new.toDocument(),
        condemned = condemned,
        completion = Completion(proposal, agreement, agreedWith?.value),
        oldSessions = oldSessions,
        heavySessions = heavySessions,
        newSessions = newSessions,
    )

    private fun Rollout.toReport(): RolloutReport = RolloutReport(
        service = ServiceName(service),
        version = version,
        ageMilliseconds = ageMilliseconds,
        old = old.toSums(),
        new = new.toSums(),
        condemned = condemned,
        proposal = completion?.proposal,
        agreement = completion?.agreement,
        agreedWith = completion?.agreedWith?.let { VmId(it) },
        oldSessions = oldSessions.toPersistentList(),
        heavySessions = heavySessions.toPersistentList(),
        newSessions = newSessions.toPersistentMap(),
    )

    private fun OutcomeSums.toDocument(): Outcomes = Outcomes(
        answers = answers,
        failures = failures,
        logLatency = logLatency,
        starts = starts.toDocument(),
        events = events.toDocument(),
    )

    private fun Outcomes.toSums(): OutcomeSums = OutcomeSums(
        answers = answers,
        failures = failures,
        logLatency = logLatency,
        starts = starts?.toSums() ?: TimingSums(),
        events = events?.toSums() ?: TimingSums(),
    )

    private fun TimingSums.toDocument(): Timings? =
        if (count == 0) null else Timings(count, excess.toThousandths(), excessSquares.toThousandths())

    private fun Timings.toSums(): TimingSums = TimingSums(count, excess, excessSquares)

    /** Rounds to three decimals, which keeps beacons short. */
    private fun Double.toThousandths(): Double = Math.round(this * THOUSAND) / THOUSAND
}

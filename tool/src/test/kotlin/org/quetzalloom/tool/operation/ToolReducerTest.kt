package org.quetzalloom.tool.operation

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.configuration.ConfigurationChange
import org.quetzalloom.core.configuration.ConfigurationRecord
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.log.LogEntry
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.core.timeline.CausalStamp
import org.quetzalloom.core.timeline.TimelineEntry
import org.quetzalloom.tool.ExitCode
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Runs changes against a log in memory, with lost responses and with changes of other operators in between, and checks
 * the order of the time line.
 */
class ToolReducerTest {
    private val zone = AvailabilityZoneId("a")
    private val published =
        proposed(0, "first", ConfigurationChange.Publish(Configuration(zones = persistentSetOf(zone))))
    private val zoneOut = Operation.Change(
        decide = ChangeDecisions.of(ConfigurationChange.SetZone(zone, inService = false), "availability zone 'a'"),
    )

    private fun proposed(base: Long, author: String, change: ConfigurationChange) =
        LogRecord.OfConfiguration(ConfigurationRecord.Proposed(base, author, change))

    /**
     * A log in memory.
     *
     * @property losesResponses whether appends succeed but are reported as failed.
     * @property beforeAppend is called with the records before each append, and may add those of another operator.
     */
    private class FakeLog(
        val losesResponses: Boolean = false,
        val beforeAppend: (MutableList<LogRecord>) -> Unit = {}
    ) {
        val records = mutableListOf<LogRecord>()

        fun answer(effect: ToolEffect): ToolEvent? = when (effect) {
            is ToolEffect.ReadLog -> {
                val entries = records.drop(effect.from.toInt())
                    .mapIndexed { index, record -> LogEntry(effect.from + index, 0, record) }
                ToolEvent.LogRead(entries.toPersistentList(), effect.from + entries.size)
            }
            is ToolEffect.Append -> {
                beforeAppend(records)
                records.add(effect.record)
                if (losesResponses) ToolEvent.AppendFailed else ToolEvent.Appended
            }
            else -> null
        }
    }

    /** Runs [operation] against [log]; returns the exit code, or `null` if it has not ended after [MAX_STEPS]. */
    private fun run(operation: Operation, log: FakeLog): ExitCode? {
        val events = ArrayDeque<ToolEvent>(listOf(ToolEvent.Tick))
        var state = ToolState(operation, author = "me")
        var code: ExitCode? = null
        repeat(MAX_STEPS) {
            val event = events.removeFirstOrNull() ?: return code
            val step = ToolReducer.reduce(state, event, Timestamp(0))
            state = step.state
            step.effects.forEach { effect ->
                log.answer(effect)?.let { events.add(it) }
                if (effect is ToolEffect.Exit) code = effect.code
            }
        }
        return code
    }

    @Test
    fun aChangeIsAccepted() {
        val log = FakeLog().apply { records.add(published) }
        assertEquals(ExitCode.DONE, run(zoneOut, log))
        assertEquals(2, log.records.size)
    }

    @Test
    fun aChangeWhoseResponseIsLostIsFoundInTheLog() {
        val log = FakeLog(losesResponses = true).apply { records.add(published) }
        assertEquals(ExitCode.DONE, run(zoneOut, log))
        assertEquals(2, log.records.size)
    }

    @Test
    fun aChangeThatLosesARaceIsRepeated() {
        val other = AvailabilityZoneId("b")
        val both = Configuration(zones = persistentSetOf(zone, other))
        val change = proposed(1, "other", ConfigurationChange.SetZone(other, inService = false))
        val log = FakeLog { if (it.size == 1) it.add(change) }
            .apply { records.add(proposed(0, "first", ConfigurationChange.Publish(both))) }
        assertEquals(ExitCode.DONE, run(zoneOut, log))
        assertEquals(4, log.records.size)
    }

    @Test
    fun aPublishThatLosesARaceIsNotRepeated() {
        val change = proposed(1, "other", ConfigurationChange.SetZone(zone, inService = false))
        val log = FakeLog { if (it.size == 1) it.add(change) }.apply { records.add(published) }
        val publish = Operation.Change(
            retries = false,
            decide = ChangeDecisions.publish(Configuration(zones = persistentSetOf(zone, AvailabilityZoneId("b")))),
        )
        assertEquals(ExitCode.LOST_RACE, run(publish, log))
    }

    @Test
    fun aChangeOfAnUnknownZoneIsRefused() {
        val unknown = ConfigurationChange.SetZone(AvailabilityZoneId("nowhere"), inService = false)
        val log = FakeLog().apply { records.add(published) }
        assertEquals(ExitCode.REFUSED, run(Operation.Change(decide = ChangeDecisions.of(unknown, "it")), log))
        assertEquals(1, log.records.size)
    }

    @Test
    fun aTimeoutAfterTheProposalIsReportedAsUnknown() {
        val state = ToolState(zoneOut, author = "me", startedAt = Timestamp(0), proposalBase = 1)
        val step = ToolReducer.reduce(state, ToolEvent.Tick, Timestamp(60_000))
        assertEquals(ToolEffect.Exit(ExitCode.UNKNOWN), step.effects.last())
    }

    @Test
    fun theTimeLineIsInCausalOrderWhenClocksDiffer() {
        fun entry(counter: Long, vm: String, at: Long, name: String, request: String) = TimelineEntry(
            stamp = CausalStamp(counter, VmId(vm)),
            at = Timestamp(at),
            name = name,
            fields = persistentMapOf("request" to request, "key" to "k"),
        )
        val entries = persistentListOf(
            entry(5, "vm-2", at = 1_000, name = "outcome_replayed", request = "r2"),
            entry(2, "vm-1", at = 61_000, name = "attempt_started", request = "r1"),
            entry(1, "vm-1", at = 60_990, name = "request_arrived", request = "r1"),
        )
        val names = TimelineFilter(key = "k").select(entries).map { it.name }
        assertEquals(listOf("request_arrived", "attempt_started", "outcome_replayed"), names)
    }

    private companion object {
        const val MAX_STEPS = 200
    }
}

package org.quetzalloom.core.configuration

import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.log.LogStream
import org.quetzalloom.core.rig.Fault
import org.quetzalloom.core.rig.Fleet
import org.quetzalloom.core.rig.Rig
import org.quetzalloom.core.rig.assertNoFindings
import org.quetzalloom.core.rig.injectWithin
import org.quetzalloom.core.rig.seeds
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterReducer
import org.quetzalloom.core.router.unchanged
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/**
 * Changes of the configuration while VMs, the log and the links between peers fail: all VMs must end at the
 * configuration that the order of the log gives, and none may go back to an earlier revision.
 */
class ConfigurationUnderFailureTest {
    @Test
    fun whatIsAcceptedIsInForceEverywhereAndNeverReverts() = seeds(SEEDS).forEach { seed ->
        val rig = Fleet.rig(seed)
        val findings = watchRevisions(rig)
        raceOperators(rig)
        rig.injectWithin(milliseconds = 5_000, count = 4, faults = Fault.ofPlatform)
        rig.runFor(SETTLE_MILLISECONDS)
        assertNoFindings(seed, rig, findings + differences(rig))
    }

    @Test
    fun withoutTheOrderOfTheLogVmsDisagree() {
        val parts = RouterReducer.parts.add(RouterReducer.parts.indexOf(ConfigurationPart) + 1, lastWriteWins)
        val found = seeds(SEEDS).sumOf { seed ->
            val rig = Fleet.rig(seed, parts)
            val findings = watchRevisions(rig)
            raceOperators(rig)
            rig.injectWithin(milliseconds = 5_000, count = 4, faults = Fault.ofPlatform)
            rig.runFor(SETTLE_MILLISECONDS)
            (findings + differences(rig)).size
        }
        assertTrue(found > 0, "the check must find VMs that disagree when the order of the log is ignored")
    }

    @Test
    fun aVmCutFromTheLogFollowsItsPeers() {
        val rig = Fleet.rig(seed = 1)
        rig.cutFromLog.add(thirdVm)
        rig.runFor(10_000)
        rig.change(base = 1, change = zoneOut)
        rig.runFor(SECONDS_TO_FOLLOW * 1_000L)
        assertEquals(2, rig.revision(thirdVm))
    }

    @Test
    fun aVmCutFromEverythingRefusesNewRequestsOnceStale() {
        val rig = Fleet.rig(seed = 1)
        rig.cutFromLog.add(thirdVm)
        rig.cutFromPeers.add(thirdVm)
        rig.runFor(Fleet.limits.stalenessMilliseconds)
        val refused = rig.send(thirdVm, Fleet.completion("bread"))
        rig.runFor(1_000)
        assertEquals(true, refused.refusal?.notRun)
    }

    @Test
    fun aNewVmDuringAnOutageLearnsFromAPeer() {
        val rig = Fleet.rig(seed = 1)
        rig.log.down = true
        rig.kill(thirdVm)
        rig.runFor(1_000)
        rig.start(thirdVm)
        val early = rig.send(thirdVm, Fleet.completion("too early"))
        rig.runFor(3_000)
        val later = rig.send(thirdVm, Fleet.completion("bread"))
        rig.runFor(3_000)
        assertEquals(true, early.refusal?.notRun ?: true)
        assertTrue(later.correct, rig.trace.joinToString("\n"))
    }

    @Test
    fun aNewVmStartsFromASnapshotAfterTheRecordsHaveExpired() {
        val rig = Fleet.rig(seed = 1)
        rig.change(base = 1, change = zoneOut)
        rig.runFor(5_000)
        rig.change(base = 2, change = ConfigurationChange.Withdraw(Fleet.new))
        rig.log.expire(LogStream.CONFIGURATION, kept = 2)
        Fleet.vms.forEach { rig.kill(it) }
        rig.start(thirdVm)
        rig.runFor(2_000)
        val current = assertNotNull(rig.state(thirdVm).configurationOrNull, rig.trace.joinToString("\n"))
        assertEquals(3, current.revision)
        assertTrue(current.versions.getValue(Fleet.new).withdrawn)
    }

    @Test
    fun anAcceptedChangeIsInForceEverywhereWithinASecond() {
        val rig = Fleet.rig(seed = 1)
        rig.change(base = 1, change = zoneOut)
        rig.runFor(1_000)
        assertEquals(listOf(2L, 2L, 2L), Fleet.vms.map { rig.revision(it) })
    }

    /** Every 300 milliseconds, two operators propose a change, both based on the highest revision in force. */
    private fun raceOperators(rig: Rig) = repeat(CHANGES) { number ->
        rig.schedule.after(number * 300L) {
            val base = rig.up.maxOfOrNull { rig.revision(it) } ?: 1
            val zone = Fleet.zones[number % Fleet.zones.size]
            rig.change(base, ConfigurationChange.SetZone(zone, inService = rig.random.nextBoolean()), "operator-1")
            rig.change(base, ConfigurationChange.SetZone(zone, inService = rig.random.nextBoolean()), "operator-2")
        }
    }

    /** Adds a finding for each VM whose revision decreases while it runs. */
    private fun watchRevisions(rig: Rig): List<String> {
        val findings = mutableListOf<String>()
        val highest = mutableMapOf<String, Long>()
        fun check() {
            rig.up.forEach { vm ->
                val name = "$vm ${rig.state(vm).settings.incarnation}"
                val revision = rig.revision(vm)
                if (revision < (highest[name] ?: 0)) findings.add("$name went back to revision $revision")
                highest[name] = revision
            }
            rig.schedule.after(20, ::check)
        }
        check()
        return findings
    }

    private fun differences(rig: Rig): List<String> {
        val accepted = acceptedByLog(rig)
        return rig.up.filter { rig.state(it).configurationOrNull != accepted }
            .map { "$it is at revision ${rig.revision(it)} and differs from what the log accepted" }
    }

    /** Reference implementation: reads all records in order and applies each that is based on the current revision. */
    private fun acceptedByLog(rig: Rig): Configuration = rig.log.records(LogStream.CONFIGURATION)
        .mapNotNull { (it as LogRecord.OfConfiguration).record as? ConfigurationRecord.Proposed }
        .fold(Configuration()) { current, record ->
            if (record.base == current.revision) current.applyOrNull(record.change) ?: current else current
        }

    private fun Rig.revision(vm: VmId): Long = state(vm).configurationOrNull?.revision ?: 0

    private companion object {
        const val SEEDS = 80
        const val CHANGES = 20
        const val SETTLE_MILLISECONDS = 20_000L
        const val SECONDS_TO_FOLLOW = 3
        val thirdVm = Fleet.vms[2]
        val zoneOut = ConfigurationChange.SetZone(Fleet.zones[1], inService = false)

        /** A faulty part for comparison: applies every change that is read, whatever revision it is based on. */
        val lastWriteWins = Part { state, event, _ ->
            val read = (event as? Event.OfPlatform.LogRead)?.entries.orEmpty()
                .mapNotNull { (it.record as? LogRecord.OfConfiguration)?.record }
                .filterIsInstance<ConfigurationRecord.Proposed>()
            val current = state.configuration.view.current
            val changed = read.fold(current) { updated, record -> updated?.applyOrNull(record.change) ?: updated }
            val view = state.configuration.view.copy(current = changed)
            state.copy(configuration = state.configuration.copy(view = view)).unchanged()
        }
    }
}

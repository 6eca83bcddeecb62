package org.quetzalloom.core.configuration

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.quetzalloom.core.rig.Fleet
import kotlin.test.Test
import kotlin.test.assertEquals

/** Which changes a reader of the configuration stream accepts, for random sequences of proposals. */
class ConfigurationViewTest {
    private val start = ConfigurationView()
        .read(ConfigurationRecord.Proposed(0, "first", ConfigurationChange.Publish(Fleet.configuration)))

    @Provide
    fun proposals(): Arbitrary<List<ConfigurationRecord.Proposed>> {
        val zones = Arbitraries.of(Fleet.zones)
        val changes = zones.flatMap { zone ->
            Arbitraries.of(true, false).map { ConfigurationChange.SetZone(zone, inService = it) }
        }
        val bases = Arbitraries.longs().between(1, 6)
        return bases.flatMap { base -> changes.map { ConfigurationRecord.Proposed(base, "any", it) } }
            .list().ofMaxSize(30)
    }

    @Property(seed = "1")
    fun theRevisionNeverFalls(@ForAll("proposals") records: List<ConfigurationRecord.Proposed>) {
        val revisions = records.runningFold(start) { view, record -> view.read(record) }.map { it.revision }
        assertEquals(revisions.sorted(), revisions)
    }

    @Property(seed = "2")
    fun aLateReaderWithASnapshotAgreesWithOneThatReadEverything(
        @ForAll("proposals") records: List<ConfigurationRecord.Proposed>,
    ) {
        val valid = withExistingBases(records)
        val fromStart = valid.fold(start) { view, record -> view.read(record) }
        val firstHalf = valid.take(valid.size / 2).fold(start) { view, record -> view.read(record) }
        val snapshot = ConfigurationRecord.Snapshot(requireNotNull(firstHalf.current))
        val fromSnapshot = (valid.drop(valid.size / 2) + snapshot).fold(
            ConfigurationView()
        ) { view, record -> view.read(record) }
        assertEquals(fromStart.current, fromSnapshot.current)
    }

    @Property(seed = "3")
    fun aSequentialReferenceAcceptsTheSameChanges(@ForAll("proposals") records: List<ConfigurationRecord.Proposed>) {
        val valid = withExistingBases(records)
        val view = valid.fold(start) { current, record -> current.read(record) }
        val expected = valid.fold(requireNotNull(start.current)) { current, record ->
            if (record.base == current.revision) current.applyOrNull(record.change) ?: current else current
        }
        assertEquals(expected, view.current)
    }

    @Test
    fun ofTwoChangesOnTheSameRevisionTheFirstCounts() {
        val first = ConfigurationRecord.Proposed(1, "a", ConfigurationChange.SetZone(Fleet.zones[0], inService = false))
        val second = ConfigurationRecord.Proposed(1, "b", ConfigurationChange.Withdraw(Fleet.old))
        val view = start.read(first).read(second)
        assertEquals(2, view.revision)
        assertEquals(false, view.current?.versions?.get(Fleet.old)?.withdrawn)
    }

    @Test
    fun publishingKeepsWhatWasWithdrawn() {
        val withdrawn = start.read(ConfigurationRecord.Proposed(1, "a", ConfigurationChange.Withdraw(Fleet.old)))
        val again = ConfigurationRecord.Proposed(2, "b", ConfigurationChange.Publish(Fleet.configuration))
        assertEquals(true, withdrawn.read(again).current?.versions?.get(Fleet.old)?.withdrawn)
    }

    /** Lowers the base of each record to the current revision if it is later: writers know only existing ones. */
    private fun withExistingBases(records: List<ConfigurationRecord.Proposed>): List<ConfigurationRecord.Proposed> =
        records.fold(start to emptyList<ConfigurationRecord.Proposed>()) { (view, kept), record ->
            val moved = record.copy(base = minOf(record.base, view.revision))
            view.read(moved) to kept + moved
        }.second
}

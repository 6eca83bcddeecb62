package org.quetzalloom.daemon.report

import io.prometheus.metrics.core.metrics.Counter
import kotlinx.collections.immutable.PersistentList
import org.quetzalloom.core.timeline.TimelineEntry
import org.quetzalloom.runtime.toLogLine
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicReference

/** Writes time line entries to the log, keeps the latest for operators, and counts them. */
internal class Reporter(private val events: Counter) {
    private val recent = AtomicReference(RecentEntries())

    /** The latest entries, oldest first. */
    fun recent(): PersistentList<TimelineEntry> = recent.get().all()

    /** Reports [entry]. Called on the loop's thread. */
    fun report(entry: TimelineEntry) {
        recent.set(recent.get().add(entry))
        events.labelValues(entry.name).inc()
        if (logger.isInfoEnabled) logger.info(entry.toLogLine())
    }

    private companion object {
        val logger: Logger = LoggerFactory.getLogger("quetzalloom")
    }
}

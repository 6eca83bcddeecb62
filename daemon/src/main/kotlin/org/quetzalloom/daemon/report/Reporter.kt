package org.quetzalloom.daemon.report

import io.prometheus.metrics.core.metrics.Counter
import kotlinx.collections.immutable.PersistentList
import org.quetzalloom.core.timeline.TimelineEntry
import org.quetzalloom.runtime.toLogLine
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicReference

/** Logs the time line entries of the router that `Daemon` runs, counts them, and keeps the latest for operators. */
internal class Reporter(private val events: Counter) {
    private val recent = AtomicReference(RecentEntries())

    /** Returns the most recent entries, oldest first. May be called from any thread. */
    fun recent(): PersistentList<TimelineEntry> = recent.get().all()

    /** Logs and counts [entry] and keeps it. Must be called on the loop's thread. */
    fun report(entry: TimelineEntry) {
        recent.set(recent.get().add(entry))
        events.labelValues(entry.name).inc()
        if (logger.isInfoEnabled) logger.info(entry.toLogLine())
    }

    private companion object {
        val logger: Logger = LoggerFactory.getLogger("quetzalloom")
    }
}

package org.quetzalloom.daemon.report

import io.prometheus.metrics.core.metrics.Counter
import kotlinx.collections.immutable.PersistentList
import org.quetzalloom.core.timeline.TimelineEntry
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
        if (logger.isInfoEnabled) logger.info(format(entry))
    }

    private fun format(entry: TimelineEntry): String {
        val fields = entry.fields.entries.sortedBy { it.key }.joinToString("") { " ${it.key}=${quote(it.value)}" }
        return "event=${entry.name} vm=${entry.stamp.vm} stamp=${entry.stamp.counter}$fields"
    }

    private fun quote(value: String): String = if (PLAIN.matches(value)) {
        value
    } else {
        "\"${value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n")}\""
    }

    private companion object {
        val PLAIN = Regex("""[^\s"=]+""")
        val logger: Logger = LoggerFactory.getLogger("quetzalloom")
    }
}

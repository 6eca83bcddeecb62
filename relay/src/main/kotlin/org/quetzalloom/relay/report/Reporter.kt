package org.quetzalloom.relay.report

import ch.qos.logback.classic.AsyncAppender
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.timeline.TimelineEntry
import org.quetzalloom.runtime.toLogLine
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Writes time line entries to the log, and counts them. Never waits: lines are dropped while the queue is full. */
internal class Reporter(private val metrics: RelayMetrics) {
    private val appender =
        (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) as? ch.qos.logback.classic.Logger)
            ?.getAppender("queue") as? AsyncAppender

    /** Reports [entry]. */
    fun report(entry: TimelineEntry) {
        metrics.count(entry)
        log { logger.info(entry.toLogLine()) }
    }

    /** Reports a problem that concerns one connection only. */
    fun problem(name: String, cause: Throwable) {
        log { logger.warn("event={} problem=\"{}\"", name, cause.toString().replace('"', '\'')) }
    }

    /** Counts an error of the relay's own. */
    fun countRefusal(kind: ErrorKind): Unit = metrics.countRefusal(kind)

    private fun log(write: () -> Unit) {
        if (appender != null && appender.remainingCapacity == 0) metrics.countDroppedLine()
        write()
    }

    private companion object {
        val logger: Logger = LoggerFactory.getLogger("quetzalloom")
    }
}

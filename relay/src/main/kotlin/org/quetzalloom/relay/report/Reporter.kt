package org.quetzalloom.relay.report

import ch.qos.logback.classic.AsyncAppender
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.timeline.TimelineEntry
import org.quetzalloom.relay.http.endProcessIfOutOfMemory
import org.quetzalloom.runtime.toLogLine
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Logs and counts a relay's timeline entries. Never blocks: the log appender drops lines while its queue is full. */
internal class Reporter(private val metrics: RelayMetrics) {
    private val appender =
        (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) as? ch.qos.logback.classic.Logger)
            ?.getAppender("queue") as? AsyncAppender

    /** Logs and counts [entry]. */
    fun report(entry: TimelineEntry) {
        metrics.count(entry)
        log { logger.info(entry.toLogLine(MAXIMUM_LINE_LENGTH)) }
    }

    /**
     * Logs and counts a problem that affects only one event, connection or datagram, as the event [name]. Ends the
     * process if there is no memory left.
     */
    fun reportProblem(name: String, cause: Throwable) {
        cause.endProcessIfOutOfMemory()
        metrics.countProblem(name)
        val place = cause.stackTrace.firstOrNull { it.className.startsWith(OWN_PACKAGES) }
        log { logger.warn("event={} at={} problem=\"{}\"", name, place, cause.toString().replace('"', '\'')) }
    }

    /** Counts an error response that the relay generated. */
    fun countRefusal(kind: ErrorKind): Unit = metrics.countRefusal(kind)

    private fun log(write: () -> Unit) {
        if (appender != null && appender.remainingCapacity == 0) metrics.countDroppedLine()
        write()
    }

    /** Logs that [refused] heads have found no room lately, and [dropped] connections were too many. */
    fun reportRefusedHeads(refused: Long, dropped: Long, usedBytes: Long) {
        log { logger.warn("event=heads_refused refused={} dropped={} used_bytes={}", refused, dropped, usedBytes) }
    }

    /** Logs that [dropped] callers lately were dropped that had not read their responses. */
    fun reportSilentCallers(dropped: Long, unreadBytes: Long, usedBytes: Long) {
        val format = "event=callers_dropped dropped={} unread_bytes={} used_bytes={}"
        log { logger.warn(format, dropped, unreadBytes, usedBytes) }
    }

    private companion object {
        /** Callers choose what some fields hold, and lines wait in a queue. */
        const val MAXIMUM_LINE_LENGTH = 2_048
        const val OWN_PACKAGES = "org.quetzalloom."
        val logger: Logger = LoggerFactory.getLogger("quetzalloom")
    }
}

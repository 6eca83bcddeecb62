package org.quetzalloom.core.rig

import org.quetzalloom.core.backend.AttemptFailure
import org.quetzalloom.core.backend.AttemptOrder
import org.quetzalloom.core.backend.LinearRamp
import org.quetzalloom.core.configuration.BackendServer
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.AttemptId
import org.quetzalloom.core.identity.StartIdentity
import org.quetzalloom.core.request.Target

/** An attempt that reached a backend server, and the virtual time of its arrival in milliseconds. */
data class Run(val at: Long, val order: AttemptOrder)

/**
 * A backend server: an engine that generates one token at a time, or a service that answers in one piece.
 *
 * It goes down when it is given more concurrent requests than it can run since its last start.
 *
 * @property runs all attempts that reached it, in order of arrival.
 * @property overloads how often it went down under too many requests.
 * @property crashes how often a request with [CRASH_MARK] took it down.
 */
class FakeServer(
    val server: BackendServer,
    private val schedule: Schedule,
    private val tokenMilliseconds: Long = 5,
) {
    private class Work(val order: AttemptOrder, val reply: (Event) -> Unit, var silent: Boolean = false)

    private val work = mutableMapOf<AttemptId, Work>()
    private var starts = 1
    private var startedAt = schedule.now - server.warmUpMilliseconds
    private var downUntil = 0L

    val runs = mutableListOf<Run>()
    var overloads = 0
        private set
    var crashes = 0
        private set

    val running: Int get() = work.size
    private val start: StartIdentity get() = StartIdentity("${server.id}-$starts")
    private val isDown: Boolean get() = schedule.now < downUntil

    /** Returns the answer to a load request: a report, or [Event.OfBackend.LoadReportFailed] while it is down. */
    fun load(): Event = if (isDown) {
        Event.OfBackend.LoadReportFailed(server.id)
    } else {
        Event.OfBackend.LoadReported(server.id, start, work.size, schedule.now - startedAt)
    }

    /** Runs [order]; [reply] sends its events to the VM that made the attempt. */
    fun handle(order: AttemptOrder, reply: (Event) -> Unit) {
        if (isDown) {
            reply(Event.OfBackend.Failed(order.attempt, AttemptFailure.NOT_SENT))
            return
        }
        runs.add(Run(schedule.now, order))
        work[order.attempt] = Work(order, reply)
        if (work.size > LinearRamp.limit(server, schedule.now - startedAt)) {
            overloads += 1
            restart()
            return
        }
        reply(Event.OfBackend.Accepted(order.attempt, start))
        if (order.target is Target.Completion) generate(order, order.resumeFrom) else serve(order)
    }

    /** Breaks all connections and goes down for [milliseconds]; the server is cold when it is up again. */
    fun restart(milliseconds: Long = 300) {
        val broken = work.values.filterNot { it.silent }
        work.clear()
        starts += 1
        downUntil = schedule.now + milliseconds
        startedAt = downUntil
        broken.forEach { it.reply(Event.OfBackend.Failed(it.order.attempt, AttemptFailure.BROKEN)) }
    }

    /** Makes every open connection silent: it stays open, but sends nothing more. */
    fun silence() = work.values.forEach { it.silent = true }

    /** Breaks every connection and ends its work; the server stays up. */
    fun breakConnections() {
        val broken = work.values.toList()
        work.clear()
        broken.forEach { it.reply(Event.OfBackend.Failed(it.order.attempt, AttemptFailure.BROKEN)) }
    }

    fun cancel(attempt: AttemptId) {
        work.remove(attempt)
    }

    private fun generate(order: AttemptOrder, position: Int) {
        val total = tokensOf(order.body)
        schedule.after(tokenMilliseconds) {
            val current = work[order.attempt]
            if (current != null && !current.silent) step(current, position, total)
        }
    }

    private fun step(current: Work, position: Int, total: Int) {
        val order = current.order
        when {
            CRASH_MARK in order.body && position >= 1 -> {
                crashes += 1
                restart()
            }
            position < total -> {
                current.reply(
                    Event.OfBackend.ChunkReceived(order.attempt, position, 1, token(order.version.value, position))
                )
                generate(order, position + 1)
            }
            else -> {
                work.remove(order.attempt)
                current.reply(Event.OfBackend.Finished(order.attempt, total, status = 200))
            }
        }
    }

    private fun serve(order: AttemptOrder) = schedule.after(SERVICE_MILLISECONDS) {
        val current = work[order.attempt]
        if (current != null && !current.silent) {
            work.remove(order.attempt)
            current.reply(Event.OfBackend.ChunkReceived(order.attempt, 0, 1, "ran ${order.body}"))
            current.reply(Event.OfBackend.Finished(order.attempt, 1, status = 200))
        }
    }

    companion object {
        /** A request whose body contains this text crashes the server after its first token. */
        const val CRASH_MARK = "crash"
        private const val SERVICE_MILLISECONDS = 10L
        private const val LONGEST_ANSWER_TOKENS = 20

        /** Returns the number of tokens in the answer to [body]. */
        fun tokensOf(body: String): Int = 1 + Math.floorMod(body.hashCode(), LONGEST_ANSWER_TOKENS)

        fun token(version: String, position: Int): String = "$version#$position "

        /** Returns the complete answer of [version] to [body]. */
        fun answer(version: String, body: String): String =
            (0 until tokensOf(body)).joinToString("") { token(version, it) }
    }
}

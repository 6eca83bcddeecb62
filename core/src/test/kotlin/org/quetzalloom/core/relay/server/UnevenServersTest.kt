package org.quetzalloom.core.relay.server

import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.relay.exchange.PromptPart
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Replays long and short prompts at servers of which a third needs 1.7 times the usual duration for work and the others
 * 0.7 times, and compares placement by forecast with placement by prompts alone.
 */
class UnevenServersTest {
    private data class Prompt(val at: Double, val tokens: Long, val part: Int, val target: Double)

    /** The [starts] of responses after their arrivals and the share of them [inTime], for one kind of prompt. */
    private data class Result(val starts: List<Double>, val inTime: Double)

    private val long = 12_000L
    private val short = 800L

    /** Prompts of about [load] times what all servers can read, in milliseconds from the start. */
    private fun prompts(load: Double, random: Random): List<Prompt> {
        val capacity = durations.sumOf { TOKENS_PER_MILLISECOND / it }
        val perMillisecond = load * capacity / ((long + short) / 2.0)
        return generateSequence(0.0) { it - Math.log(1 - random.nextDouble()) / perMillisecond }
            .takeWhile { it < SPAN }
            .map {
                val isLong = random.nextBoolean()
                Prompt(
                    at = it,
                    tokens = if (isLong) long else short,
                    part = if (isLong) random.nextInt(PARTS) else -1,
                    target = if (isLong) LONG_TARGET else SHORT_TARGET,
                )
            }.toList()
    }

    private fun candidate(index: Int, pendingWork: Long, knowsDuration: Boolean, load: Int = 0) = Candidate(
        server = BackendServerId("s-$index"),
        zone = zone,
        slots = 24,
        inFlight = 0,
        load = load,
        pendingWork = pendingWork,
        failureRate = 0.0,
        workDuration = durations[index].takeIf { knowsDuration },
    )

    /** Reads each prompt in the order of arrival at the server that [placement] chooses from reports 100 ms old. */
    private fun replay(placement: Placement, load: Double, knowsDurations: Boolean): Map<Long, Result> {
        val random = Random(1)
        var freeAt = durations.map { 0.0 }
        var reported = freeAt
        var reportedAt = 0.0
        val starts = prompts(load, random).mapIndexed { number, prompt ->
            if (prompt.at - reportedAt >= REPORT_INTERVAL) {
                reported = freeAt
                reportedAt = prompt.at
            }
            val candidates = durations.indices.map { index ->
                val work = (reported[index] - reportedAt).coerceAtLeast(0.0) * TOKENS_PER_MILLISECOND / durations[index]
                candidate(index, work.toLong(), knowsDurations)
            }
            val request = PlacementRequest(
                sharedPart = if (prompt.part < 0) null else PromptPart("part-${prompt.part}", tokens = 5_000),
                work = prompt.tokens,
                seed = "request-$number",
                zone = zone,
            )
            val chosen = candidates.indexOf(placement.chooseOrNull(candidates, request))
            val readAt = maxOf(freeAt[chosen], prompt.at) + prompt.tokens * durations[chosen] / TOKENS_PER_MILLISECOND
            freeAt = freeAt.mapIndexed { index, at -> if (index == chosen) readAt else at }
            prompt to readAt - prompt.at
        }
        return starts.groupBy({ it.first.tokens }) { it.second }.mapValues { (tokens, times) ->
            val target = if (tokens == long) LONG_TARGET else SHORT_TARGET
            Result(times.sorted(), times.count { it <= target }.toDouble() / times.size)
        }
    }

    private fun Result.percentile(share: Double): Double = starts[((starts.size - 1) * share).toInt()]

    @Test
    fun `with known durations both kinds of prompts start in time more often`() {
        listOf(0.2, 0.5, 0.7).forEach { load ->
            val byForecast = replay(ForecastPlacement(), load, knowsDurations = true)
            val byPrompts = replay(AffinityPlacement(), load, knowsDurations = false)
            listOf(long, short).forEach { kind ->
                val (with, without) = byForecast.getValue(kind) to byPrompts.getValue(kind)
                val message = "load $load, $kind tokens: ${with.inTime} ${without.inTime}"
                assertTrue(with.percentile(HIGH) <= without.percentile(HIGH), message)
                assertTrue(with.inTime >= without.inTime, message)
            }
        }
    }

    @Test
    fun `without known durations the choice is that of placement by prompts`() {
        val byForecast = replay(ForecastPlacement(), load = 0.5, knowsDurations = false)
        assertEquals(replay(AffinityPlacement(), load = 0.5, knowsDurations = false), byForecast)
    }

    private fun request(work: Long, seed: String = "request", part: String? = null) = PlacementRequest(
        sharedPart = part?.let { PromptPart(it, tokens = 5_000) },
        work = work,
        seed = seed,
        zone = zone,
    )

    private fun candidates(pendingWork: (Int) -> Long = { 0 }) =
        durations.indices.map { candidate(it, pendingWork(it), knowsDuration = true) }

    private fun choose(candidates: List<Candidate>, request: PlacementRequest) =
        durations[candidates.indexOf(ForecastPlacement().chooseOrNull(candidates, request))]

    @Test
    fun `idle fast servers get the requests and share them`() {
        val chosen = (1..500).map { ForecastPlacement().chooseOrNull(candidates(), request(800, "r-$it"))?.server }
        val fast = durations.count { it == FAST }
        assertEquals(fast, chosen.toSet().size)
        assertTrue(chosen.groupingBy { it }.eachCount().values.max() < 2 * chosen.size / fast)
    }

    @Test
    fun `a slow server is used where the fast ones are busy for longer`() {
        val busy = candidates { if (durations[it] == FAST) 40_000 else 0 }
        assertEquals(SLOW, choose(busy, request(800)))
    }

    @Test
    fun `a shared part keeps its home until that is too busy`() {
        val placement = ForecastPlacement()
        fun home(candidates: List<Candidate>, seed: String) =
            placement.chooseOrNull(candidates, request(12_000, seed, part = "statutes"))?.server
        val homes = (1..20).map { home(candidates(), "r-$it") }.toSet()
        assertEquals(1, homes.size)
        val hot = candidates().map { if (it.server == homes.single()) it.copy(pendingWork = 30_000) else it }
        assertTrue(home(hot, "r-1") != homes.single())
    }

    @Test
    fun `a long prompt goes where few requests are disturbed`() {
        val crowded = candidates().mapIndexed { index, one -> if (index == 0) one else one.copy(load = 12) }
        val loads = crowded.map { if (it.workDuration == FAST) it else it.copy(load = 23) }
        assertEquals(loads.first().server, ForecastPlacement().chooseOrNull(loads, request(12_000))?.server)
    }

    @Test
    fun `a server that has not told its duration is tried`() {
        val fresh = candidates().mapIndexed { index, one -> if (index == 0) one.copy(workDuration = null) else one }
        val chosen = (1..500).map { ForecastPlacement().chooseOrNull(fresh, request(800, "r-$it"))?.server }
        assertTrue(fresh.first().server in chosen)
    }

    private companion object {
        const val FAST = 0.7
        const val SLOW = 1.7
        const val TOKENS_PER_MILLISECOND = 50.0
        const val REPORT_INTERVAL = 100.0
        const val SPAN = 20_000.0
        const val PARTS = 100
        const val LONG_TARGET = 1_000.0
        const val SHORT_TARGET = 300.0
        const val HIGH = 0.99
        val zone = AvailabilityZoneId("zone-a")
        val durations = (0 until 18).map { if (it % 3 == 2) SLOW else FAST }
    }
}

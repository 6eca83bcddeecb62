package org.quetzalloom.core.rig

import kotlin.test.fail

/** Returns the seeds that a test runs: 1 to [count], or only the one given by `-Dseed=N`. */
fun seeds(count: Int): List<Long> = System.getProperty("seed")?.let { listOf(it.toLong()) } ?: (1L..count).toList()

/** Fails with [findings], the seed to replay and the trace of [rig], unless [findings] is empty. */
fun assertNoFindings(seed: Long, rig: Rig, findings: List<String>) {
    if (findings.isEmpty()) return
    fail("seed $seed (replay with -Dseed=$seed): ${findings.joinToString("; ")}\n${rig.trace.joinToString("\n")}")
}

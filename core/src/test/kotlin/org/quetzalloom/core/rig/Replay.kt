package org.quetzalloom.core.rig

import kotlin.test.fail

/** The seeds that a test runs: all of them, or the one that `-Dseed=N` names. */
fun seeds(count: Int): List<Long> = System.getProperty("seed")?.let { listOf(it.toLong()) } ?: (1L..count).toList()

/** Fails with the time line of [rig] if [findings] has any. */
fun assertNoFindings(seed: Long, rig: Rig, findings: List<String>) {
    if (findings.isEmpty()) return
    fail("seed $seed (replay with -Dseed=$seed): ${findings.joinToString("; ")}\n${rig.trace.joinToString("\n")}")
}

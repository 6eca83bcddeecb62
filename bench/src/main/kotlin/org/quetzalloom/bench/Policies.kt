package org.quetzalloom.bench

import kotlinx.serialization.encodeToString
import org.quetzalloom.core.selection.CheapestConfident
import org.quetzalloom.core.selection.VersionChoice
import org.quetzalloom.wire.WireFormat

private const val SEEDS = 5
private const val HIGH_TARGET = 0.95
private const val MIDDLE_TARGET = 0.9
private const val LOW_TARGET = 0.8

/** What is expected of the cheap and the middle version is wrong on purpose, each in another direction. */
private val versions = listOf(
    TrueVersion.of("large@1", costMicros = 9_000, expectedQuality = 0.97, quality = 0.97),
    TrueVersion.of("middle@1", costMicros = 3_000, expectedQuality = 0.85, quality = 0.93),
    TrueVersion.of("small@1", costMicros = 900, expectedQuality = 0.92, quality = 0.83),
)

private val policies: Map<String, VersionChoice> = mapOf(
    "cheapest confident" to CheapestConfident(),
    "without exploration" to CheapestConfident(explorationPermille = 0),
    "always the dearest" to VersionChoice { options, _, _ -> options.maxBy { it.version.costMicros }.version },
    "always the cheapest" to VersionChoice { options, _, _ -> options.minBy { it.version.costMicros }.version },
    "round robin" to VersionChoice { options, _, seed ->
        options[Math.floorMod(seed, options.size.toLong()).toInt()].version
    },
)

/** Prints what each policy comes to for each quality target and seed, on the same input. */
internal fun printPolicies() = listOf(HIGH_TARGET, MIDDLE_TARGET, LOW_TARGET).forEach { target ->
    policies.forEach { (name, policy) ->
        for (seed in 1L..SEEDS) {
            println(WireFormat.encodeToString(SelectionTrial(versions, target, seed).run(name, policy)))
        }
    }
}

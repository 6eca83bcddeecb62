package org.quetzalloom.standins.load

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Percentiles of a latency, in microseconds, to three significant digits. They are 0 if [count] is 0. */
@Serializable
data class Percentiles(
    val count: Long,
    val p50: Long,
    val p95: Long,
    val p99: Long,
    val max: Long,
) {
    companion object {
        private const val HIGHEST_TRACKABLE_MICROSECONDS = 3_600_000_000L
        private const val SIGNIFICANT_DIGITS = 3
        private const val P50 = 50.0
        private const val P95 = 95.0
        private const val P99 = 99.0

        /**
         * Returns the percentiles of [microseconds].
         *
         * @throws ArrayIndexOutOfBoundsException if one of them is far above an hour.
         */
        fun of(microseconds: List<Long>): Percentiles {
            val histogram = Histogram(HIGHEST_TRACKABLE_MICROSECONDS, SIGNIFICANT_DIGITS)
            microseconds.forEach { histogram.recordValue(it) }
            return Percentiles(
                count = histogram.totalCount,
                p50 = histogram.getValueAtPercentile(P50),
                p95 = histogram.getValueAtPercentile(P95),
                p99 = histogram.getValueAtPercentile(P99),
                max = histogram.maxValue,
            )
        }
    }
}

/**
 * The report of the load tool on one run.
 *
 * @property results the number of requests by kind and result, as `kind:result`.
 * @property versions the number of whole completions by the version that answered.
 * @property first the time to the first chunk of whole completions.
 * @property whole the time to the end of whole completions.
 * @property commands the time to the response of whole commands.
 * @property movedSessions the number of sessions whose whole completions came from more than one version.
 * @property samples the results of all requests, in the order in which they ended.
 */
@Serializable
data class LoadReport(
    val results: Map<String, Int>,
    val versions: Map<String, Int>,
    val first: Percentiles,
    val whole: Percentiles,
    val commands: Percentiles,
    val movedSessions: Int,
    val samples: List<LoadSample>,
) {
    companion object {
        /** Returns the report on the results [samples]. */
        fun of(samples: List<LoadSample>): LoadReport {
            val whole = samples.filter { it.result == "whole" }
            val completions = whole.filter { it.kind == "completion" }
            return LoadReport(
                results = samples.groupingBy { "${it.kind}:${it.result}" }.eachCount().toSortedMap(),
                versions = completions.groupingBy { it.version.orEmpty() }.eachCount().toSortedMap(),
                first = Percentiles.of(completions.mapNotNull { it.firstMicroseconds }),
                whole = Percentiles.of(completions.map { it.wholeMicroseconds }),
                commands = Percentiles.of(whole.filter { it.kind == "command" }.map { it.wholeMicroseconds }),
                movedSessions = completions.filter { it.session != null }
                    .groupBy { it.session }
                    .count { (_, answers) -> answers.map { it.version }.toSet().size > 1 },
                samples = samples,
            )
        }
    }
}

package org.quetzalloom.relay.report

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.timeline.TimelineEntry
import org.quetzalloom.relay.Relay
import java.io.ByteArrayOutputStream

/**
 * The Prometheus metrics of one relay.
 *
 * @param state returns the state at the time of a scrape.
 */
internal class RelayMetrics(private val state: () -> RelayState) {
    private val registry = PrometheusRegistry()
    private val events = counter("quetzalloom_relay_events_total", "Timeline entries by name.", "name")
    private val refusals = counter("quetzalloom_relay_refusals_total", "Errors of the relay itself by kind.", "kind")
    private val requests = counter("quetzalloom_relay_requests_total", "Finished requests by outcome.", "outcome")
    private val failures = counter("quetzalloom_relay_attempt_failures_total", "Failed attempts by cause.", "failure")
    private val dropped = Counter.builder().name("quetzalloom_relay_log_lines_dropped_total")
        .help("Log lines dropped because the queue was full.").register(registry)
    private val latency = Histogram.builder()
        .name("quetzalloom_relay_request_seconds")
        .help("Time from the end of a request to the end of its response, by route.")
        .labelNames("route")
        .classicOnly()
        .classicExponentialUpperBounds(FIRST_BOUND_SECONDS, BOUND_FACTOR, BOUND_COUNT)
        .register(registry)

    private val forecastRatio = Histogram.builder()
        .name("quetzalloom_relay_forecast_ratio")
        .help("Time until a response began, in multiples of the forecast, by route.")
        .labelNames("route")
        .classicOnly()
        .classicExponentialUpperBounds(FIRST_RATIO, BOUND_FACTOR, RATIO_COUNT)
        .register(registry)

    private val delay = Histogram.builder()
        .name("quetzalloom_relay_attempt_delay_seconds")
        .help("Time from the choice of a server until a new connection to it is open, or a long request is written.")
        .labelNames("name")
        .classicOnly()
        .classicExponentialUpperBounds(FIRST_DELAY_SECONDS, BOUND_FACTOR, BOUND_COUNT)
        .register(registry)

    init {
        gauge("quetzalloom_relay_active_requests", "Requests in flight.") { it.activeExchanges.toDouble() }
        gauge("quetzalloom_relay_backend_servers", "Backend servers known.") { it.knownServers.toDouble() }
        gauge("quetzalloom_relay_stale_feeds", "Feeds of the store that are too old.") { it.staleFeeds.toDouble() }
        gauge("quetzalloom_relay_failed_ticks", "Ticks in a row that failed.") { it.failedTicks.toDouble() }
        gauge("quetzalloom_relay_configuration_version", "Version of the current configuration, or -1.") {
            it.configurationVersion?.toDouble() ?: -1.0
        }
    }

    /** Registers the connection gauges of [relay]. */
    fun registerConnectionGauges(relay: Relay) {
        gauge("quetzalloom_relay_caller_connections", "Open caller connections.") { relay.callerConnections.toDouble() }
        gauge("quetzalloom_relay_caller_connections_dropped", "Caller connections dropped as there were too many.") {
            relay.droppedCallerConnections.toDouble()
        }
        gauge("quetzalloom_relay_heads_refused", "Heads of requests that found no room in the memory for messages.") {
            relay.requestMemory.refusedHeads.toDouble()
        }
        gauge("quetzalloom_relay_request_memory_bytes", "Memory of requests, connections and unread responses.") {
            relay.requestMemory.usedBytes.toDouble()
        }
        gauge("quetzalloom_relay_unread_response_bytes", "Memory of responses that callers have not read.") {
            relay.unreadResponseBytes.toDouble()
        }
        gauge("quetzalloom_relay_silent_callers_dropped", "Callers dropped as they did not read their responses.") {
            relay.droppedSilentCallers.toDouble()
        }
        gauge("quetzalloom_relay_backend_connections", "Open connections to backend servers.") {
            relay.backendConnections.toDouble()
        }
        gauge("quetzalloom_relay_backend_connections_made", "Connection attempts to backend servers.") {
            relay.backendConnectionAttempts.toDouble()
        }
    }

    /** Counts [entry], the attempt failure or request outcome in its fields, and the request's duration. */
    fun count(entry: TimelineEntry) {
        events.labelValues(entry.name).inc()
        entry.fields["failure"]?.let { failures.labelValues(it).inc() }
        if (entry.name in DELAY_NAMES) observeDelay(entry)
        val outcome = entry.fields["outcome"] ?: return
        requests.labelValues(outcome).inc()
        val milliseconds = entry.fields["after_ms"]?.toDoubleOrNull() ?: return
        latency.labelValues(entry.fields["route"].orEmpty()).observe(milliseconds / MILLISECONDS_PER_SECOND)
        observeForecast(entry)
    }

    private fun observeDelay(entry: TimelineEntry) {
        val milliseconds = entry.fields["after_ms"]?.toDoubleOrNull() ?: return
        delay.labelValues(entry.name).observe(milliseconds / MILLISECONDS_PER_SECOND)
    }

    private fun observeForecast(entry: TimelineEntry) {
        val start = entry.fields["start_ms"]?.toDoubleOrNull() ?: return
        val forecast = entry.fields["forecast_ms"]?.toDoubleOrNull() ?: return
        forecastRatio.labelValues(entry.fields["route"].orEmpty()).observe(start / forecast.coerceAtLeast(1.0))
    }

    /** Counts a problem that was logged as the event [name]. */
    fun countProblem(name: String): Unit = events.labelValues(name).inc()

    /** Counts an error response that the relay generated. */
    fun countRefusal(kind: ErrorKind): Unit = refusals.labelValues(kind.code).inc()

    /** Counts a dropped log line. */
    fun countDroppedLine(): Unit = dropped.inc()

    /** Returns all metrics in the Prometheus text format. */
    fun format(): String {
        val bytes = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(bytes, registry.scrape())
        return bytes.toString(Charsets.UTF_8)
    }

    private fun counter(name: String, help: String, label: String): Counter =
        Counter.builder().name(name).help(help).labelNames(label).register(registry)

    private fun gauge(name: String, help: String, value: (RelayState) -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value(state())) }.register(registry)
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** The histogram covers 0.01 s to 20 s: short commands should take about 0.1 s, and long streams about 20 s. */
        const val FIRST_BOUND_SECONDS = 0.01
        const val BOUND_FACTOR = 2.0
        const val BOUND_COUNT = 12

        /** The histogram of delays covers 1 ms to 2 s: a connection takes 0.4 s at most. */
        const val FIRST_DELAY_SECONDS = 0.001
        val DELAY_NAMES = setOf("attempt_connected", "attempt_written")

        /** The histogram of ratios covers an eighth to 8 times the forecast. */
        const val FIRST_RATIO = 0.125
        const val RATIO_COUNT = 7
    }
}

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
 * The metrics of one relay.
 *
 * @param state reads the state at the time of a scrape.
 */
internal class RelayMetrics(private val state: () -> RelayState) {
    private val registry = PrometheusRegistry()
    private val events = counter("quetzalloom_relay_events_total", "Time line entries by name.", "name")
    private val refusals = counter("quetzalloom_relay_refusals_total", "Errors of the relay's own by kind.", "kind")
    private val requests = counter("quetzalloom_relay_requests_total", "Requests by how they ended.", "outcome")
    private val failures = counter("quetzalloom_relay_attempt_failures_total", "Attempts lost, by cause.", "failure")
    private val dropped = Counter.builder().name("quetzalloom_relay_log_lines_dropped_total")
        .help("Log lines dropped because the queue was full.").register(registry)
    private val latency = Histogram.builder()
        .name("quetzalloom_relay_request_seconds")
        .help("Time from the end of a request to the end of its answer, by route.")
        .labelNames("route")
        .classicOnly()
        .classicExponentialUpperBounds(FIRST_BOUND_SECONDS, BOUND_FACTOR, BOUND_COUNT)
        .register(registry)

    init {
        gauge("quetzalloom_relay_active_requests", "Requests not answered yet.") { it.activeExchanges.toDouble() }
        gauge("quetzalloom_relay_backend_servers", "Backend servers known.") { it.knownServers.toDouble() }
        gauge("quetzalloom_relay_configuration_version", "Configuration in force, or -1.") {
            it.configurationVersion?.toDouble() ?: -1.0
        }
    }

    /** Adds the metrics of the connections of [relay]. */
    fun registerConnectionGauges(relay: Relay) {
        gauge("quetzalloom_relay_caller_connections", "Connections of callers.") { relay.callerConnections.toDouble() }
        gauge("quetzalloom_relay_backend_connections", "Connections to backend servers.") {
            relay.backendConnections.toDouble()
        }
        gauge("quetzalloom_relay_backend_connections_made", "Connections made to backend servers.") {
            relay.backendConnectionsOpened.toDouble()
        }
    }

    /** Counts [entry], and what it says of a request. */
    fun count(entry: TimelineEntry) {
        events.labelValues(entry.name).inc()
        entry.fields["failure"]?.let { failures.labelValues(it).inc() }
        val outcome = entry.fields["outcome"] ?: return
        requests.labelValues(outcome).inc()
        val milliseconds = entry.fields["after_ms"]?.toDoubleOrNull() ?: return
        latency.labelValues(entry.fields["route"].orEmpty()).observe(milliseconds / MILLISECONDS_PER_SECOND)
    }

    /** Counts an error of the relay's own. */
    fun countRefusal(kind: ErrorKind): Unit = refusals.labelValues(kind.code).inc()

    /** Counts a log line that was dropped. */
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

        /** Seconds; commands are to be answered in about a tenth, long streams in twenty. */
        const val FIRST_BOUND_SECONDS = 0.01
        const val BOUND_FACTOR = 2.0
        const val BOUND_COUNT = 12
    }
}

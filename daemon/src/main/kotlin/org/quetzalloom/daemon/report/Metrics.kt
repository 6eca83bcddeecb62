package org.quetzalloom.daemon.report

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.quetzalloom.core.router.RouterStatus
import java.io.ByteArrayOutputStream

/**
 * The Prometheus metrics of one router.
 *
 * @param status returns the current status of the router; called on each scrape.
 */
internal class Metrics(private val status: () -> RouterStatus) {
    private val registry = PrometheusRegistry()

    /** The number of time line entries, by name. */
    val events: Counter = Counter.builder()
        .name("quetzalloom_events_total")
        .help("Time line entries by name.")
        .labelNames("name")
        .register(registry)

    init {
        gauge("quetzalloom_configuration_revision", "Configuration revision in force.") { it.revision.toDouble() }
        gauge("quetzalloom_ready", "1 if new work is taken, else 0.") { if (it.ready) 1.0 else 0.0 }
        gauge("quetzalloom_active_requests", "Requests not answered yet.") { it.active.toDouble() }
        gauge("quetzalloom_waiting_requests", "Active requests that do not run.") { it.waiting.toDouble() }
        gauge("quetzalloom_unsettled_bills", "Own bills not yet in the log.") { it.unsettledBills.toDouble() }
        gauge("quetzalloom_kept_bills", "Bills kept for peers.") { it.keptBills.toDouble() }
        gauge("quetzalloom_commands", "Commands remembered.") { it.commands.toDouble() }
        gauge("quetzalloom_live_peers", "Peers heard lately.") { it.livePeers.size.toDouble() }
    }

    /** Returns all metrics in the Prometheus text format. */
    fun format(): String {
        val bytes = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(bytes, registry.scrape())
        return bytes.toString(Charsets.UTF_8)
    }

    private fun gauge(name: String, help: String, value: (RouterStatus) -> Double) {
        GaugeWithCallback.builder()
            .name(name)
            .help(help)
            .callback { it.call(value(status())) }
            .register(registry)
    }
}

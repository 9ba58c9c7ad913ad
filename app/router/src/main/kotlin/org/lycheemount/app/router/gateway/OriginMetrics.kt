package org.lycheemount.app.router.gateway

import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.lycheemount.origins.SharedStreamOrigins

/** Registers the metrics of [origins]. */
internal fun registerOriginMetrics(
    registry: PrometheusRegistry,
    origins: SharedStreamOrigins,
) {
    GaugeWithCallback
        .builder()
        .name("lycheemount_service_versions_open")
        .help("Software versions of a service on which streams may begin.")
        .labelNames("service")
        .callback { gauge -> origins.statistics.openVersions.forEach { (service, count) -> gauge.call(count.toDouble(), service) } }
        .register(registry)
    GaugeWithCallback
        .builder()
        .name("lycheemount_stream_origins_waiting")
        .help("Streams whose origins are still to be written to the table.")
        .callback { it.call(origins.statistics.originsWaiting.toDouble()) }
        .register(registry)
    CounterWithCallback
        .builder()
        .name("lycheemount_stream_origins_written_total")
        .help("Streams whose origins have been written to the table.")
        .callback { it.call(origins.statistics.originsWritten.toDouble()) }
        .register(registry)
    GaugeWithCallback
        .builder()
        .name("lycheemount_stream_origin_copies_kept")
        .help("Streams of other routers whose origins this router keeps.")
        .callback { it.call(origins.statistics.copiesKept.toDouble()) }
        .register(registry)
    CounterWithCallback
        .builder()
        .name("lycheemount_stream_origins_failed_calls_total")
        .help("Calls to the table of origins that did not succeed.")
        .callback { it.call(origins.statistics.failedCalls.toDouble()) }
        .register(registry)
    CounterWithCallback
        .builder()
        .name("lycheemount_stream_origin_lookups_total")
        .help("Streams that callers resumed, by what was found out about their origin.")
        .labelNames("outcome")
        .callback { counter ->
            origins.statistics.lookups.forEach { (outcome, count) -> counter.call(count.toDouble(), outcome.name.lowercase()) }
        }.register(registry)
}

package org.lycheemount.app.router.gateway

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Registers the metrics of [evacuations]. */
internal fun registerEvacuationMetrics(
    registry: PrometheusRegistry,
    evacuations: ZoneEvacuationState,
) {
    GaugeWithCallback
        .builder()
        .name("lycheemount_zone_evacuated")
        .help("1 for each evacuated zone, 0 for a zone whose evacuation has ended.")
        .labelNames("zone")
        .callback { gauge -> evacuations.statements().forEach { gauge.call(if (it.isEvacuated) 1.0 else 0.0, it.zoneId.value) } }
        .register(registry)
}

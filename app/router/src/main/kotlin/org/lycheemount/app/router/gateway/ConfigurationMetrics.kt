package org.lycheemount.app.router.gateway

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Registers the metrics of [lag]. */
internal fun registerConfigurationMetrics(
    registry: PrometheusRegistry,
    lag: ConfigurationLag,
) {
    GaugeWithCallback
        .builder()
        .name("lycheemount_configuration_newest_known")
        .help("Newest version of the configuration that this router or a peer has reported.")
        .callback { it.call(lag.newestKnownVersion.toDouble()) }
        .register(registry)
    GaugeWithCallback
        .builder()
        .name("lycheemount_configuration_behind_seconds")
        .help("Time since this router heard of a configuration newer than the active one; 0 if it has the newest.")
        .callback { it.call(lag.behindMs / MS_PER_SECOND) }
        .register(registry)
}

private const val MS_PER_SECOND = 1_000.0

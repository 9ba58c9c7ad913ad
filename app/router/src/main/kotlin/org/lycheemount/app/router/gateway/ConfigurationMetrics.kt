package org.lycheemount.app.router.gateway

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.lycheemount.platform.StoreEras

/**
 * Registers the metrics of the configuration and of the store that it is read from.
 *
 * @param confirmedAgeMs time in milliseconds since the store confirmed that all changes of the operator's rows have been read.
 */
internal fun registerConfigurationMetrics(
    registry: PrometheusRegistry,
    lag: ConfigurationLag,
    confirmedAgeMs: () -> Long,
    eras: StoreEras,
) {
    GaugeWithCallback
        .builder()
        .name("lycheemount_configuration_newest_known")
        .help("Newest version of the configuration that this router has in force or a peer has reported in the last 30 s.")
        .callback { it.call(lag.newestKnownVersion.toDouble()) }
        .register(registry)
    GaugeWithCallback
        .builder()
        .name("lycheemount_configuration_behind_seconds")
        .help("Time since this router heard of a configuration newer than the active one; 0 if it has the newest.")
        .callback { it.call(lag.behindMs / MS_PER_SECOND) }
        .register(registry)
    GaugeWithCallback
        .builder()
        .name("lycheemount_configuration_confirmed_age_seconds")
        .help("Time since the store confirmed that all changes of the operator's rows have been read.")
        .callback { it.call(confirmedAgeMs() / MS_PER_SECOND) }
        .register(registry)
    GaugeWithCallback
        .builder()
        .name("lycheemount_store_era")
        .help("Era that the store stated last; it grows when the store comes back from an older copy.")
        .callback { gauge -> eras.current.value?.let { gauge.call(it.value.toDouble()) } }
        .register(registry)
}

private const val MS_PER_SECOND = 1_000.0

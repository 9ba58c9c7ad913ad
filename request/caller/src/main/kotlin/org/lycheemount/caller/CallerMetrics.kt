package org.lycheemount.caller

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Metrics of the request lifecycle. Label values are bounded: none of them is chosen freely by callers. */
internal class CallerMetrics(
    registry: PrometheusRegistry,
    drain: DrainState,
) {
    val requests: Counter =
        Counter
            .builder()
            .name("lycheemount_requests_total")
            .help("Requests by kind, outcome and reason; the reason of successful requests is ok.")
            .labelNames("kind", "outcome", "reason")
            .register(registry)
    val firstTokenSeconds: Histogram =
        Histogram
            .builder()
            .name("lycheemount_first_token_seconds")
            .help("Time from the arrival of a request to its first token.")
            .classicOnly()
            .register(registry)
    val completionTokens: Counter =
        Counter
            .builder()
            .name("lycheemount_completion_tokens_total")
            .help("Output tokens billed.")
            .register(registry)
    val retries: Counter =
        Counter
            .builder()
            .name("lycheemount_retries_total")
            .help("Attempts after the first one, by kind.")
            .labelNames("kind")
            .register(registry)
    val retriesDenied: Counter =
        Counter
            .builder()
            .name("lycheemount_retries_denied_total")
            .help("Retries denied by the retry budget of the team and route, by kind.")
            .labelNames("kind")
            .register(registry)
    val disconnectedCallers: Counter =
        Counter
            .builder()
            .name("lycheemount_callers_gone_total")
            .help("Model requests whose caller disconnected before the end of the response.")
            .register(registry)

    init {
        GaugeWithCallback
            .builder()
            .name("lycheemount_requests_in_progress")
            .help("Requests admitted and not yet settled.")
            .callback { it.call(drain.requestsInProgress.toDouble()) }
            .register(registry)
    }
}

package org.lycheemount.caller.routed

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.lycheemount.backend.BodyFraming
import org.lycheemount.caller.WorkDispatcher
import org.lycheemount.common.BackendServer
import org.lycheemount.config.ConfigurationView
import org.lycheemount.config.RouteKind
import org.lycheemount.quarantine.PromptQuarantine
import org.lycheemount.scheduling.WorkTimeFactor

/** Metrics of routed requests. Label values are bounded: none of them is chosen freely by callers. */
internal class RoutedMetrics(
    registry: PrometheusRegistry,
    configuration: ConfigurationView,
    dispatcher: WorkDispatcher,
    quarantine: PromptQuarantine,
    serverStatements: ServerStatements,
) {
    private val requestSeconds =
        histogram(
            "lycheemount_routed_request_seconds",
            "Time from the arrival of a request to its end.",
            "kind",
            "outcome",
        ).register(registry)
    private val firstResponseSeconds =
        histogram("lycheemount_routed_first_answer_seconds", "Time from the arrival of a request to its response head.", "kind")
            .register(registry)
    private val tokenWaitSeconds =
        histogram("lycheemount_routed_token_wait_seconds", "Time that a request waited for prepaid tokens.", "kind").register(registry)
    private val queueSeconds =
        histogram("lycheemount_routed_queue_seconds", "Time that an attempt waited for a server.", "kind").register(registry)
    private val attempts: Counter =
        Counter
            .builder()
            .name("lycheemount_routed_attempts_total")
            .help("Attempts at servers, by kind of request and result.")
            .labelNames("kind", "result")
            .register(registry)
    private val resumptions: Counter =
        Counter
            .builder()
            .name("lycheemount_routed_resumptions_total")
            .help("Requests that resume a stream, by what is known of its origin and whether they were refused for it.")
            .labelNames("origin", "result")
            .register(registry)

    private val streams: Counter =
        Counter
            .builder()
            .name("lycheemount_routed_streams_total")
            .help("Relayed streams, by what told the end of the last server's response and how the response to the caller ended.")
            .labelNames("framing", "end")
            .register(registry)

    private val workTimes: Counter =
        Counter
            .builder()
            .name("lycheemount_routed_work_time_reports_total")
            .help("Load reports of servers that say how long work takes at the moment, by whether it takes longer than usual.")
            .labelNames("work_time")
            .register(registry)

    init {
        gauge(registry, "lycheemount_configuration_sequence", "Version of the active configuration.") {
            configuration.current().sequence.toDouble()
        }

        fun countServers(condition: (BackendServer) -> Boolean) = dispatcher.backendServers.count(condition).toDouble()

        fun isLeaving(server: BackendServer) = server.leaving || serverStatements.hasSaidToLeave(server)
        gauge(registry, "lycheemount_backend_servers", "Backend servers available for requests.") {
            countServers { !isLeaving(it) && !dispatcher.isEvacuated(it) }
        }
        gauge(registry, "lycheemount_backend_servers_leaving", "Backend servers that are leaving.") { countServers(::isLeaving) }
        gauge(registry, "lycheemount_backend_servers_leaving_stated", "Backend servers that have said in a response that they leave.") {
            countServers(serverStatements::hasSaidToLeave)
        }
        gauge(registry, "lycheemount_backend_servers_paused", "Backend servers that have asked this router for a pause.") {
            countServers(serverStatements::hasAskedForPause)
        }
        gauge(registry, "lycheemount_quarantined_prompt_segments", "Prompt segments, or sets of them, whose requests are refused.") {
            quarantine.quarantinedCount.toDouble()
        }
    }

    /** Records the end of a request after [elapsedMs]; [outcome] is one of a fixed set of values. */
    fun onEnd(
        kind: RouteKind,
        outcome: String,
        elapsedMs: Long,
        firstResponseMs: Long?,
    ) {
        requestSeconds.labelValues(labelOf(kind), outcome).observe(elapsedMs / MS_PER_SECOND)
        firstResponseMs?.let { firstResponseSeconds.labelValues(labelOf(kind)).observe(it / MS_PER_SECOND) }
    }

    /** Records the time that a request waited for tokens of its team, whether or not it received them. */
    fun onTokenWait(
        kind: RouteKind,
        waitedMs: Long,
    ) = tokenWaitSeconds.labelValues(labelOf(kind)).observe(waitedMs / MS_PER_SECOND)

    /** Records the time that an attempt waited for a server, whether or not it was assigned one. */
    fun onQueueWait(
        kind: RouteKind,
        waitedMs: Long,
    ) = queueSeconds.labelValues(labelOf(kind)).observe(waitedMs / MS_PER_SECOND)

    /** Records the end of an attempt; [result] is "answered" or the failure. */
    fun onAttempt(
        kind: RouteKind,
        result: String,
    ) = attempts.labelValues(labelOf(kind), result).inc()

    /** Records a load report that says how long work takes. */
    fun onWorkTime(workTime: WorkTimeFactor) = workTimes.labelValues(if (workTime.ratio >= SLOW_RATIO) "slow" else "usual").inc()

    /** Records the end of a relayed stream; [end] is "complete" or "cut". */
    fun onStreamEnd(
        framing: BodyFraming,
        end: String,
    ) = streams.labelValues(framing.name.lowercase(), end).inc()

    /** Records a request that resumes a stream; [origin] is one of a fixed set of values. */
    fun onResumption(
        origin: String,
        isRefused: Boolean,
    ) = resumptions.labelValues(origin, if (isRefused) "refused" else "accepted").inc()

    private fun labelOf(kind: RouteKind) = kind.name.lowercase()

    private fun histogram(
        name: String,
        help: String,
        vararg labels: String,
    ): Histogram.Builder =
        Histogram
            .builder()
            .name(name)
            .help(help)
            .labelNames(*labels)
            .classicOnly()

    private fun gauge(
        registry: PrometheusRegistry,
        name: String,
        help: String,
        value: () -> Double,
    ) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(value()) }
            .register(registry)
    }

    private companion object {
        private const val MS_PER_SECOND = 1_000.0

        /** Work time, as a multiple of the usual, from which a report counts as slow. */
        private const val SLOW_RATIO = 1.5
    }
}

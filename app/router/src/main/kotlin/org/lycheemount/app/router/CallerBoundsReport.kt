package org.lycheemount.app.router

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.MemoryBudget
import org.lycheemount.listener.ConnectionRefusal

/**
 * Reports what is refused to callers because of the bounds of the process, in metrics and in the log. Thread-safe.
 *
 * @param openConnections current number of connections of callers.
 */
internal class CallerBoundsReport(
    registry: PrometheusRegistry,
    memory: MemoryBudget,
    private val clock: Clock,
    private val eventLog: EventLog,
    openConnections: () -> Int,
) {
    private val refusals =
        Counter
            .builder()
            .name("lycheemount_caller_connections_refused")
            .help("Connections closed for what their callers sent, or in favour of new ones.")
            .labelNames("reason")
            .register(registry)
    private val discardedEvents =
        Counter
            .builder()
            .name("lycheemount_events_discarded")
            .help("Streams broken off at an event that is too large.")
            .register(registry)
    private val unlogged = HashMap<String, UnloggedCount>()

    init {
        registry.gauge("lycheemount_caller_connections", "Open connections of callers.") { openConnections().toDouble() }
        registry.gauge("lycheemount_memory_capacity_bytes", "Bytes that requests may hold together.") { memory.capacityBytes.toDouble() }
        registry.gauge("lycheemount_memory_used_bytes", "Bytes that requests hold.") { memory.usage.usedBytes.toDouble() }
        registry.gauge("lycheemount_memory_waiting_requests", "Requests whose bodies wait for memory.") {
            memory.usage.waitingAccounts.toDouble()
        }
        CounterWithCallback
            .builder()
            .name("lycheemount_memory_dropped_requests")
            .help("Requests refused since their memory was needed for others.")
            .callback { it.call(memory.usage.droppedAccounts.toDouble()) }
            .register(registry)
    }

    /** A connection is closed because of [refusal]. */
    fun onConnectionRefused(refusal: ConnectionRefusal) {
        val reason = refusal.name.lowercase()
        refusals.labelValues(reason).inc()
        log("caller_connection_refused", reason)
    }

    /** A stream is broken off at an event that is too large. */
    fun onEventDiscarded() {
        discardedEvents.inc()
        log("stream_event_discarded", "event_too_large")
    }

    @Synchronized
    private fun log(
        event: String,
        reason: String,
    ) {
        val nowMs = clock.monotonicMs()
        val count = unlogged.getOrPut(reason) { UnloggedCount(nowMs - LOG_INTERVAL_MS) }
        count.events++
        if (nowMs - count.lastLoggedMs < LOG_INTERVAL_MS) return
        eventLog.warn(event, "reason" to reason, "count" to count.events)
        count.events = 0
        count.lastLoggedMs = nowMs
    }

    private class UnloggedCount(
        var lastLoggedMs: Long,
    ) {
        var events = 0
    }

    private companion object {
        private const val LOG_INTERVAL_MS = 1_000L

        private fun PrometheusRegistry.gauge(
            name: String,
            help: String,
            value: () -> Double,
        ) {
            GaugeWithCallback
                .builder()
                .name(name)
                .help(help)
                .callback { it.call(value()) }
                .register(this)
        }
    }
}

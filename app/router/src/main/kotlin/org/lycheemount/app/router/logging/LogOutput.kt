package org.lycheemount.app.router.logging

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.spi.AppenderAttachable
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Registers a counter of the log lines that were dropped because standard output did not keep up. */
internal fun registerLogMetrics(registry: PrometheusRegistry) {
    val appenders = boundedAppenders()
    CounterWithCallback
        .builder()
        .name("lycheemount_log_lines_dropped_total")
        .help("Log lines dropped because standard output did not keep up.")
        .callback { metric -> metric.call(appenders.sumOf { it.droppedLines }.toDouble()) }
        .register(registry)
}

/** Stops the appenders, which write the queued lines for up to `maxFlushTime` of `logback.xml`. Later lines are lost. */
internal fun flushLogOutput() = boundedAppenders().forEach { it.stop() }

private fun boundedAppenders(): List<BoundedAsyncAppender> {
    val context = LoggerFactory.getILoggerFactory() as? LoggerContext ?: return emptyList()
    val root: AppenderAttachable<ILoggingEvent> = context.getLogger(Logger.ROOT_LOGGER_NAME)
    return root
        .iteratorForAppenders()
        .asSequence()
        .filterIsInstance<BoundedAsyncAppender>()
        .toList()
}

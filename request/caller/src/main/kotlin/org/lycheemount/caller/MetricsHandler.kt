package org.lycheemount.caller

import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondBytes
import io.prometheus.metrics.config.EscapingScheme
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Serves the metrics of [registry] in the Prometheus text format. */
class MetricsHandler(
    private val registry: PrometheusRegistry,
) {
    private val writer = PrometheusTextFormatWriter.create()

    /** Responds to [call] with the current values. */
    suspend fun respond(call: ApplicationCall) {
        val buffer = ByteArrayOutputStream()
        writer.write(buffer, registry.scrape(), EscapingScheme.DEFAULT)
        call.respondBytes(buffer.toByteArray(), ContentType.parse(writer.contentType))
    }
}

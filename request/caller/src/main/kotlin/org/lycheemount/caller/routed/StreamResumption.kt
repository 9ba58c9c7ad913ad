package org.lycheemount.caller.routed

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.caller.ShutdownException
import org.lycheemount.caller.drainingRefusal
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.origins.StreamOrigin
import kotlin.random.Random

/** Finds out where a stream may go on that its caller resumes. Used by one coroutine at a time. */
internal class StreamResumption(
    private val services: RoutedServices,
    private val metrics: RoutedMetrics,
    private val request: RoutedRequest,
) {
    /** Where the stream began; null before [check], and if the request begins a stream. */
    var origin: StreamOrigin? = null
        private set

    /** The software version of the servers at which the stream may go on; null if any may be used. */
    val requiredVersion: SoftwareVersion? get() = (origin as? StreamOrigin.Known)?.version

    /** Looks for the origin of the stream. Returns why the stream cannot go on, or null. */
    suspend fun check(): Refusal? {
        if (!request.isResumption) return null
        val found =
            try {
                coroutineScope { services.drain.cancelAtEnd { findOrigin() } }
            } catch (exception: ShutdownException) {
                currentCoroutineContext().ensureActive()
                return drainingRefusal(RETRY_AFTER_MS)
            }
        origin = found
        val refusal = refusalFor(found)
        metrics.onResumption(labelOf(found), isRefused = refusal != null)
        return refusal
    }

    private suspend fun findOrigin(): StreamOrigin {
        val remainingMs = request.remainingMs(services.clock.monotonicMs())
        val patienceMs = minOf(MAX_PATIENCE_MS, remainingMs / PATIENCE_DIVISOR)
        return withTimeoutOrNull(maxOf(1, 2 * patienceMs)) {
            services.streamOrigins.originOf(request.metadata.resumedAttemptId, request.service.serviceId, patienceMs)
        } ?: StreamOrigin.Unknown("no answer in time")
    }

    private fun refusalFor(origin: StreamOrigin): Refusal? =
        when (origin) {
            StreamOrigin.AnyVersion -> null
            is StreamOrigin.Known -> if (isServed(origin.version)) null else noServerRefusal(origin.version)
            is StreamOrigin.Unknown ->
                Refusal(RefusalReason.STREAM_ORIGIN_UNKNOWN, "the software version of the stream is unknown: ${origin.reason}", jittered())
        }

    private fun isServed(version: SoftwareVersion): Boolean =
        services.dispatcher.backendServers.any { !it.leaving && request.backendTarget in it.targets && it.softwareVersion == version }

    private fun noServerRefusal(version: SoftwareVersion) =
        Refusal(RefusalReason.NO_BACKEND_SERVER, "no backend server of software version ${version.value} is live", 2 * jittered())

    private fun jittered(): Long = RETRY_AFTER_MS + Random.nextLong(RETRY_AFTER_MS)

    companion object {
        private const val MAX_PATIENCE_MS = 1_000L

        // Most of the time is left for the request itself.
        private const val PATIENCE_DIVISOR = 4

        // Another router may know the origin, or this one once it has read the store.
        private const val RETRY_AFTER_MS = 400L

        /** Name of the outcome for metrics. */
        fun labelOf(origin: StreamOrigin): String =
            when (origin) {
                is StreamOrigin.Known -> "known"
                is StreamOrigin.Unknown -> "unknown"
                StreamOrigin.AnyVersion -> "any"
            }

        /** Description for logs. */
        fun describe(origin: StreamOrigin): String =
            when (origin) {
                is StreamOrigin.Known -> "known:${origin.version.value}"
                is StreamOrigin.Unknown -> "unknown:${origin.reason}"
                StreamOrigin.AnyVersion -> "any"
            }
    }
}

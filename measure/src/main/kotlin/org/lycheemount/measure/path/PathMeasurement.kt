package org.lycheemount.measure.path

import org.HdrHistogram.Histogram
import org.lycheemount.measure.Measurement
import org.lycheemount.standin.enginemodel.EngineParameters

/**
 * Compares latency and throughput of requests through a router with requests sent directly to the engine stand-in.
 * Callers, router, engines and platform share one process and its cores, so the figures depend on the machine and its load.
 */
class PathMeasurement : Measurement {
    override val name: String get() = "path"

    override fun run(): List<Pair<String, Any>> = latencyFigures() + heldSlotFigures()

    private fun latencyFigures(): List<Pair<String, Any>> {
        // Steps of one microsecond make the engine time negligible; a real engine adds the same time to both sides.
        val parameters = EngineParameters(slots = 512, stepBaseUs = 1, stepPerSequenceUs = 0, prefillPerTokenUs = 0)
        PathFleet(routerCount = 1, engineCount = 1, parameters, routersAreLinked = false).use { fleet ->
            val cases = CALLER_COUNTS.flatMap { callerCount -> listOf(false, true).map { LoadCase(callerCount, it, fleet) } }
            cases.forEach { it.warmUp() }
            return cases.flatMap { it.measure() }
        }
    }

    private fun heldSlotFigures(): List<Pair<String, Any>> {
        val (forwardedSlotSeconds, forwardedSlots) = AbandonedStreamRun(forwardsCancellations = true).run()
        val (localSlotSeconds, localSlots) = AbandonedStreamRun(forwardsCancellations = false).run()
        return listOf(
            "held_slot_seconds" to "%.2f".format(forwardedSlotSeconds),
            "baseline_held_slot_seconds" to "%.2f".format(localSlotSeconds),
            "held_slots_after_1_s" to forwardedSlots,
            "baseline_held_slots_after_1_s" to localSlots,
        )
    }

    private class LoadCase(
        private val callerCount: Int,
        private val isStreamed: Boolean,
        fleet: PathFleet,
    ) {
        private val name = "${if (isStreamed) "stream" else "whole"}_$callerCount"
        private val routerPort = fleet.ports.single()
        private val enginePort = fleet.engines.single().port
        private val intervalMs = if (callerCount > MAX_CALLERS_AT_SHORT_INTERVAL) 40L else 10L

        fun warmUp() {
            runDirect(WARM_UP_MS, intervalMs = 0)
            runRouted(WARM_UP_MS, intervalMs = 0)
        }

        fun measure(): List<Pair<String, Any>> {
            val baseline = runDirect(LATENCY_RUN_MS, intervalMs)
            val result = runRouted(LATENCY_RUN_MS, intervalMs)
            val baselineThroughput = runDirect(THROUGHPUT_RUN_MS, intervalMs = 0)
            val throughput = runRouted(THROUGHPUT_RUN_MS, intervalMs = 0)
            check(result.failures + throughput.failures == 0L) { "$name: ${result.failures + throughput.failures} requests failed" }
            val completionFigures = percentiles("completion", result.completionUs, baseline.completionUs)
            val firstTokenFigures = if (isStreamed) percentiles("first_token", result.firstTokenUs, baseline.firstTokenUs) else emptyList()
            return firstTokenFigures + completionFigures +
                listOf(
                    "${name}_requests_per_second" to throughput.requestsPerSecond,
                    "baseline_${name}_requests_per_second" to baselineThroughput.requestsPerSecond,
                )
        }

        private fun percentiles(
            kind: String,
            result: Histogram,
            baseline: Histogram,
        ): List<Pair<String, Any>> =
            PERCENTILES.flatMap { percentile ->
                val routedUs = result.getValueAtPercentile(percentile.toDouble())
                val directUs = baseline.getValueAtPercentile(percentile.toDouble())
                val figure = "${name}_${kind}_p${percentile}_us"
                listOf(figure to routedUs, "baseline_$figure" to directUs, "${name}_${kind}_added_p${percentile}_us" to routedUs - directUs)
            }

        private fun runRouted(
            durationMs: Long,
            intervalMs: Long,
        ) = LoadRun(routerPort, callerCount, durationMs, intervalMs) { PathFleet.chatRequest("$it $PROMPT", isStreamed) }.run()

        private fun runDirect(
            durationMs: Long,
            intervalMs: Long,
        ) = LoadRun(enginePort, callerCount, durationMs, intervalMs, ::engineRequest).run()

        private fun engineRequest(number: Long): ByteArray {
            val id = "$name-${System.nanoTime()}-$number"
            val body =
                """{"requestId":"$id","modelId":"model","prompt":"$number $PROMPT","promptTokens":16,"prefixHashes":[],""" +
                    """"maxOutputTokens":400,"priority":0}"""
            return PathFleet.httpRequest("POST", "/v1/generate", body)
        }
    }

    private companion object {
        private const val PROMPT = "Summarise the order of the day. [[tokens=16]]"
        private const val MAX_CALLERS_AT_SHORT_INTERVAL = 8
        private const val WARM_UP_MS = 2_000L
        private const val LATENCY_RUN_MS = 6_000L
        private const val THROUGHPUT_RUN_MS = 3_000L
        private val CALLER_COUNTS = listOf(1, 8, 64)
        private val PERCENTILES = listOf(50, 95, 99)
    }
}

package org.lycheemount.measure.path

import org.HdrHistogram.Histogram
import org.lycheemount.measure.Measurement
import org.lycheemount.standin.enginemodel.EngineParameters

/**
 * Latency and throughput of requests through a router against the same requests sent to the engine stand-in directly.
 * Callers, router, engines and platform share one process and its cores. Figures depend on the machine and its load.
 */
class PathMeasurement : Measurement {
    override val name: String get() = "path"

    override fun run(): List<Pair<String, Any>> = latencies() + heldSlots()

    private fun latencies(): List<Pair<String, Any>> {
        // Steps of a microsecond leave the time of the path itself; a real engine adds the same to both sides.
        val parameters = EngineParameters(slots = 512, stepBaseUs = 1, stepPerSequenceUs = 0, prefillPerTokenUs = 0)
        PathFleet(routerCount = 1, engineCount = 1, parameters, linked = false).use { fleet ->
            val cases = CALLERS.flatMap { callers -> listOf(false, true).map { Case(callers, it, fleet) } }
            cases.forEach { it.warmUp() }
            return cases.flatMap { it.measure() }
        }
    }

    private fun heldSlots(): List<Pair<String, Any>> {
        val (forwardedSeconds, forwardedSlots) = HeldSlots(forwarded = true).run()
        val (localSeconds, localSlots) = HeldSlots(forwarded = false).run()
        return listOf(
            "held_slot_seconds" to "%.2f".format(forwardedSeconds),
            "baseline_held_slot_seconds" to "%.2f".format(localSeconds),
            "held_slots_after_1_s" to forwardedSlots,
            "baseline_held_slots_after_1_s" to localSlots,
        )
    }

    private class Case(
        private val callers: Int,
        private val stream: Boolean,
        fleet: PathFleet,
    ) {
        private val name = "${if (stream) "stream" else "whole"}_$callers"
        private val routerPort = fleet.ports.single()
        private val enginePort = fleet.engines.single().port
        private val intervalMs = if (callers > FEW_CALLERS) 40L else 10L

        fun warmUp() {
            direct(WARM_UP_MS, intervalMs = 0)
            routed(WARM_UP_MS, intervalMs = 0)
        }

        fun measure(): List<Pair<String, Any>> {
            val baseline = direct(LATENCY_RUN_MS, intervalMs)
            val result = routed(LATENCY_RUN_MS, intervalMs)
            val baselineRate = direct(RATE_RUN_MS, intervalMs = 0)
            val rate = routed(RATE_RUN_MS, intervalMs = 0)
            check(result.failures + rate.failures == 0L) { "$name: ${result.failures + rate.failures} requests failed" }
            val figures = percentiles("completion", result.completion, baseline.completion)
            val first = if (stream) percentiles("first_token", result.firstToken, baseline.firstToken) else emptyList()
            return first + figures +
                listOf(
                    "${name}_requests_per_second" to rate.requestsPerSecond,
                    "baseline_${name}_requests_per_second" to baselineRate.requestsPerSecond,
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

        private fun routed(
            durationMs: Long,
            intervalMs: Long,
        ) = LoadRun(routerPort, callers, durationMs, intervalMs) { PathFleet.chatRequest("$it $PROMPT", stream) }.run()

        private fun direct(
            durationMs: Long,
            intervalMs: Long,
        ) = LoadRun(enginePort, callers, durationMs, intervalMs, ::generateRequest).run()

        private fun generateRequest(number: Long): ByteArray {
            val id = "$name-${System.nanoTime()}-$number"
            val body =
                """{"requestId":"$id","modelId":"model","prompt":"$number $PROMPT","promptTokens":16,"prefixHashes":[],""" +
                    """"maxOutputTokens":400,"priority":0}"""
            return PathFleet.httpRequest("POST", "/v1/generate", body)
        }
    }

    private companion object {
        private const val PROMPT = "Summarise the order of the day. [[tokens=16]]"
        private const val FEW_CALLERS = 8
        private const val WARM_UP_MS = 2_000L
        private const val LATENCY_RUN_MS = 6_000L
        private const val RATE_RUN_MS = 3_000L
        private val CALLERS = listOf(1, 8, 64)
        private val PERCENTILES = listOf(50, 95, 99)
    }
}

package org.lycheemount.measure.path

import org.lycheemount.standin.enginemodel.EngineParameters
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Measures the engine slots that abandoned streams hold until they are cancelled.
 * Each cancellation reaches a random router, as behind a load balancer, and the caller's connection stays open.
 *
 * @param forwardsCancellations whether the routers know each other and can forward a cancellation to the stream's router.
 */
internal class AbandonedStreamRun(
    private val forwardsCancellations: Boolean,
) {
    /** Returns the slot-seconds held from the cancellations on, and the number of slots still held after one second. */
    fun run(): Pair<Double, Int> {
        val parameters = EngineParameters(stepBaseUs = 20_000, stepPerSequenceUs = 0, prefillPerTokenUs = 0)
        return PathFleet(ROUTERS, ENGINES, parameters, routersAreLinked = forwardsCancellations).use { fleet ->
            val callers = List(STREAMS) { index -> LoopbackCaller(fleet.ports[index % ROUTERS]) }
            try {
                measure(fleet, callers)
            } finally {
                callers.forEach { it.close() }
            }
        }
    }

    private fun measure(
        fleet: PathFleet,
        callers: List<LoopbackCaller>,
    ): Pair<Double, Int> {
        callers
            .mapIndexed { index, caller ->
                val request = PathFleet.chatRequest("$index [[tokens=300]]", stream = true)
                thread { caller.sendAndReadHead(request) }
            }.forEach { it.join() }
        val random = Random(SEED)
        val cancellations =
            callers.map { caller ->
                val port = fleet.ports[random.nextInt(ROUTERS)]
                val request = PathFleet.httpRequest("DELETE", "/v1/requests/${caller.headers.getValue("x-lycheemount-request-id")}")
                thread { LoopbackCaller(port).use { it.call(request) } }
            }
        val held = measureSlotSeconds(fleet)
        cancellations.forEach { it.join() }
        return held
    }

    private fun measureSlotSeconds(fleet: PathFleet): Pair<Double, Int> {
        val startedAtNs = System.nanoTime()
        var lastNs = startedAtNs
        var slotTimeNs = 0L
        var slotsAfterOneSecond = 0
        while (true) {
            val slotsHeld = fleet.engines.sumOf { it.slotsHeld }
            val nowNs = System.nanoTime()
            slotTimeNs += slotsHeld * (nowNs - lastNs)
            lastNs = nowNs
            if (nowNs - startedAtNs < NS_PER_SECOND) slotsAfterOneSecond = slotsHeld
            if (slotsHeld == 0) return slotTimeNs / NS_PER_SECOND.toDouble() to slotsAfterOneSecond
            Thread.sleep(SAMPLE_INTERVAL_MS)
        }
    }

    private companion object {
        private const val ROUTERS = 7
        private const val ENGINES = 2
        private const val STREAMS = 56
        private const val SEED = 11
        private const val SAMPLE_INTERVAL_MS = 10L
        private const val NS_PER_SECOND = 1_000_000_000L
    }
}

package org.lycheemount.measure.path

import org.lycheemount.standin.enginemodel.EngineParameters
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Engine slots that abandoned streams hold when their cancellations reach a random router of a fleet, as behind a load
 * balancer, and the connection of the caller stays open.
 */
internal class HeldSlots(
    private val forwarded: Boolean,
) {
    /** Returns the slot-seconds held after the callers have left, and the slots still held after one second. */
    fun run(): Pair<Double, Int> {
        val parameters = EngineParameters(stepBaseUs = 20_000, stepPerSequenceUs = 0, prefillPerTokenUs = 0)
        return PathFleet(ROUTERS, ENGINES, parameters, linked = forwarded).use { fleet ->
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
            .mapIndexed { index, caller -> thread { caller.open(PathFleet.chatRequest("$index [[tokens=300]]", stream = true)) } }
            .forEach { it.join() }
        val random = Random(SEED)
        val cancellations =
            callers.map { caller ->
                val port = fleet.ports[random.nextInt(ROUTERS)]
                val request = PathFleet.httpRequest("DELETE", "/v1/requests/${caller.headers.getValue("x-lycheemount-request-id")}")
                thread { LoopbackCaller(port).use { it.call(request) } }
            }
        val held = integrate(fleet)
        cancellations.forEach { it.join() }
        return held
    }

    private fun integrate(fleet: PathFleet): Pair<Double, Int> {
        val startedAtNs = System.nanoTime()
        var lastNs = startedAtNs
        var slotNs = 0L
        var afterOneSecond = 0
        while (true) {
            val slots = fleet.engines.sumOf { it.slotsHeld }
            val nowNs = System.nanoTime()
            slotNs += slots * (nowNs - lastNs)
            lastNs = nowNs
            if (nowNs - startedAtNs < NS_PER_SECOND) afterOneSecond = slots
            if (slots == 0) return slotNs / NS_PER_SECOND.toDouble() to afterOneSecond
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

package org.lycheemount.measure.control

import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.lycheemount.common.Clock
import org.lycheemount.measure.Measurement
import kotlin.time.Duration.Companion.minutes

/**
 * Time from an accepted change to its being in force everywhere, and what the control plane costs each node.
 *
 * Runs in virtual time with the real services over a network in memory, and with seven routers over sockets. CPU, heap and the
 * figures over sockets depend on the machine; all others are the same in each run.
 */
class ControlMeasurement : Measurement {
    override val name: String = "control"

    override fun run(): List<Pair<String, Any>> {
        val results = SIZES.associateWith { size -> inVirtualTime { ControlRun(this, it, size).run() } }
        val baselines =
            listOf(SIZES.first(), SIZES.last()).map { size ->
                inVirtualTime { ControlRun(this, it, size, pollOnly = true).run() }
            }
        val fits =
            listOf(
                "slope_sent_bytes_per_second_per_node_by_router" to fit(results) { it.bytesPerSecond },
                "slope_cpu_permille_of_core_per_node_by_router" to fit(results) { it.cpuShareOfCore * 1_000 },
                "slope_heap_bytes_per_node_by_router" to fit(results) { it.heapBytesPerNode },
            )
        return results.values.flatMap { it.figures } + fits + SocketFleet().run() + baselines.flatMap { it.figures }
    }

    private fun fit(
        results: Map<Int, RunResult>,
        figure: (RunResult) -> Double,
    ): String = "%.4f".format(slope(results.map { (size, result) -> size.toDouble() to figure(result) }))

    private fun inVirtualTime(body: suspend kotlinx.coroutines.CoroutineScope.(Clock) -> RunResult): RunResult {
        var result: RunResult? = null
        runTest(timeout = 10.minutes) { result = backgroundScope.body(VirtualClock(this)) }
        return checkNotNull(result)
    }

    private class VirtualClock(
        private val scope: TestScope,
    ) : Clock {
        override fun monotonicMs(): Long = scope.testScheduler.currentTime

        override fun wallClockMs(): Long = EPOCH_MS + monotonicMs()
    }

    private companion object {
        private const val EPOCH_MS = 1_700_000_000_000L
        private val SIZES = listOf(7, 25, 50, 100, 200, 600)
    }
}

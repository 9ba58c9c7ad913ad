package org.lycheemount.measure.budgets

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.lycheemount.common.Clock
import org.lycheemount.common.DiscardingEventLog

/** Clock that shows the virtual time of [scheduler]. */
internal class SchedulerClock(
    private val scheduler: TestCoroutineScheduler,
) : Clock {
    override fun monotonicMs(): Long = scheduler.currentTime

    override fun wallClockMs(): Long = WALL_CLOCK_START_MS + scheduler.currentTime

    private companion object {
        private const val WALL_CLOCK_START_MS = 1_700_000_000_000
    }
}

/** Runs [body] to completion without advancing the virtual time. */
internal fun CoroutineScope.runNow(
    scheduler: TestCoroutineScheduler,
    body: suspend () -> Unit,
) {
    val job = launch { body() }
    scheduler.runCurrent()
    check(job.isCompleted) { "the body did not complete at the current virtual time" }
}

/** Least-squares slope of [points], rounded to a whole number. */
internal fun slope(points: List<Pair<Int, Double>>): Long {
    val meanX = points.map { it.first.toDouble() }.average()
    val meanY = points.map { it.second }.average()
    val covariance = points.sumOf { (x, y) -> (x - meanX) * (y - meanY) }
    return Math.round(covariance / points.sumOf { (x, _) -> (x - meanX) * (x - meanX) })
}

/** Returns the heap in use after several garbage collections. */
internal fun usedHeapBytes(): Long {
    repeat(GC_RUNS) { System.gc() }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}

private const val GC_RUNS = 4

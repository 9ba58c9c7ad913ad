package org.lycheemount.measure.capacity

import org.lycheemount.measure.control.formatDecimal
import org.lycheemount.measure.fitLine
import java.lang.management.ManagementFactory
import java.lang.ref.Reference

/** Returns the bytes in use on the heap after garbage collection. */
internal fun usedHeapBytes(): Long {
    repeat(GC_ROUNDS) {
        System.gc()
        Thread.sleep(GC_PAUSE_MS)
    }
    return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
}

/** Returns the bytes that the result of [build] keeps on the heap. */
internal fun retainedBytes(build: () -> Any): Double {
    val before = usedHeapBytes()
    val retained = build()
    val after = usedHeapBytes()
    Reference.reachabilityFence(retained)
    return (after - before).toDouble()
}

/** Returns the CPU nanoseconds per operation: the median of [REPETITIONS] runs of [operations] operations after a warm-up. */
internal fun cpuNanosPerOperation(
    operations: Int,
    operation: (Int) -> Unit,
): Double {
    val threadMxBean = ManagementFactory.getThreadMXBean()
    val perOperation =
        (0 until WARM_UPS + REPETITIONS).map { repetition ->
            val startCpuNanos = threadMxBean.currentThreadCpuTime
            for (number in 0 until operations) operation(repetition * operations + number)
            (threadMxBean.currentThreadCpuTime - startCpuNanos).toDouble() / operations
        }
    return perOperation.drop(WARM_UPS).sorted()[REPETITIONS / 2]
}

/** Measures [value] at each of [sizes] and returns the points and the slope, intercept and fit (r2) of a line through them. */
internal fun measureSlope(
    figure: String,
    unit: String,
    sizes: List<Int>,
    value: (Int) -> Double,
): List<Pair<String, Any>> {
    value(sizes.first())
    val points = sizes.map { it.toDouble() to value(it) }
    val line = fitLine(points)
    return points.map { (size, measured) -> "capacity_${figure}_${unit}_at_${size.toInt()}" to formatDecimal(measured) } +
        listOf(
            "capacity_${figure}_${unit}_each" to formatDecimal(line.slope),
            "capacity_${figure}_${unit}_at_0" to formatDecimal(line.intercept),
            "capacity_${figure}_${unit}_r2" to formatDecimal(line.rSquared),
        )
}

private const val GC_ROUNDS = 3
private const val GC_PAUSE_MS = 20L
private const val WARM_UPS = 4
private const val REPETITIONS = 5

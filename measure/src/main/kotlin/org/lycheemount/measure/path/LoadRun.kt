package org.lycheemount.measure.path

import org.HdrHistogram.Histogram
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Latencies in microseconds and throughput of one run. */
internal class LoadResult(
    val firstTokenUs: Histogram,
    val completionUs: Histogram,
    val requestsPerSecond: Long,
    val failures: Long,
)

/**
 * Sends requests to [port] from [callerCount] threads for [durationMs].
 *
 * @param intervalMs time between the starts of two requests of one caller; 0 sends the next request at once.
 * @param request returns the bytes of the HTTP request with the given number.
 */
internal class LoadRun(
    private val port: Int,
    private val callerCount: Int,
    private val durationMs: Long,
    private val intervalMs: Long,
    private val request: (Long) -> ByteArray,
) {
    private val requestNumber = AtomicLong()
    private val failures = AtomicLong()

    fun run(): LoadResult {
        val startedAtNs = System.nanoTime()
        val results = List(callerCount) { Histogram(MAX_US, SIGNIFICANT_DIGITS) to Histogram(MAX_US, SIGNIFICANT_DIGITS) }
        results
            .mapIndexed { index, (firstToken, completion) -> thread { runCaller(index, startedAtNs, firstToken, completion) } }
            .forEach { it.join() }
        val firstToken = Histogram(MAX_US, SIGNIFICANT_DIGITS).also { sum -> results.forEach { sum.add(it.first) } }
        val completion = Histogram(MAX_US, SIGNIFICANT_DIGITS).also { sum -> results.forEach { sum.add(it.second) } }
        val elapsedNs = System.nanoTime() - startedAtNs
        return LoadResult(firstToken, completion, completion.totalCount * NS_PER_SECOND / elapsedNs, failures.get())
    }

    private fun runCaller(
        index: Int,
        startedAtNs: Long,
        firstToken: Histogram,
        completion: Histogram,
    ) {
        LoopbackCaller(port).use { caller ->
            var nextAtNs = startedAtNs + intervalMs * NS_PER_MS * index / callerCount
            while (System.nanoTime() - startedAtNs < durationMs * NS_PER_MS) {
                val waitNs = nextAtNs - System.nanoTime()
                if (waitNs > 0) Thread.sleep(waitNs / NS_PER_MS, (waitNs % NS_PER_MS).toInt())
                nextAtNs = maxOf(nextAtNs + intervalMs * NS_PER_MS, System.nanoTime())
                val bytes = request(requestNumber.incrementAndGet())
                val sentAtNs = System.nanoTime()
                var firstByteAtNs = sentAtNs
                val status = caller.call(bytes) { firstByteAtNs = System.nanoTime() }
                if (status != HTTP_OK) failures.incrementAndGet()
                firstToken.recordValue((firstByteAtNs - sentAtNs) / NS_PER_US)
                completion.recordValue((System.nanoTime() - sentAtNs) / NS_PER_US)
            }
        }
    }

    private companion object {
        private const val MAX_US = 60_000_000L
        private const val SIGNIFICANT_DIGITS = 3
        private const val HTTP_OK = 200
        private const val NS_PER_US = 1_000L
        private const val NS_PER_MS = 1_000_000L
        private const val NS_PER_SECOND = 1_000_000_000L
    }
}

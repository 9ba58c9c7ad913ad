package org.lycheemount.origins

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.lycheemount.common.Clock

/**
 * Reads that several callers share. Each caller gets the result of a read that began after its call. Thread-safe.
 *
 * @param minIntervalMs least time from the start of a read to the start of the next.
 * @param read returns whether it succeeded.
 */
internal class SharedRead(
    private val clock: Clock,
    private val minIntervalMs: Long,
    private val read: suspend () -> Boolean,
) {
    private val lock = Any()
    private val requests = Channel<Unit>(Channel.CONFLATED)
    private var waiting = ArrayList<CompletableDeferred<Boolean>>()

    /** Waits for a read and returns whether it succeeded. */
    suspend fun await(): Boolean {
        val result = CompletableDeferred<Boolean>()
        synchronized(lock) { waiting += result }
        requests.trySend(Unit)
        return result.await()
    }

    /** Does the reads until it is cancelled. */
    suspend fun run() {
        var startedAtMs = Long.MIN_VALUE / 2
        while (true) {
            requests.receive()
            delay(startedAtMs + minIntervalMs - clock.monotonicMs())
            startedAtMs = clock.monotonicMs()
            val served = synchronized(lock) { waiting.also { waiting = ArrayList() } }
            val succeeded = read()
            served.forEach { it.complete(succeeded) }
        }
    }
}

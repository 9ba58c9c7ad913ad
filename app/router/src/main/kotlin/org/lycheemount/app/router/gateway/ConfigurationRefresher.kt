package org.lycheemount.app.router.gateway

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.Clock

/**
 * Reads the configuration anew for requests whose route or key is not known. Requests that come together share one read, so that
 * callers with wrong keys cannot use up the store's rate.
 *
 * @param read false when the store gave no answer.
 */
internal class ConfigurationRefresher(
    private val clock: Clock,
    private val read: suspend () -> Boolean,
) {
    private val lock = Mutex()
    private var lastReadAtMs = Long.MIN_VALUE / 2
    private var lastSucceeded = false

    /** True when the configuration in force is no older than [SHARED_MS]. */
    suspend fun refresh(): Boolean =
        lock.withLock {
            if (clock.monotonicMs() - lastReadAtMs >= SHARED_MS) {
                lastReadAtMs = clock.monotonicMs()
                lastSucceeded = withTimeoutOrNull(READ_TIMEOUT_MS) { read() } ?: false
            }
            lastSucceeded
        }

    private companion object {
        private const val SHARED_MS = 200L

        // The store answers within 4 ms; a request with a wrong key is not worth a longer wait.
        private const val READ_TIMEOUT_MS = 250L
    }
}

package org.lycheemount.app.router.gateway

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.Clock

/**
 * Reads the configuration anew for requests whose route or key is not known. Requests that come together share one read, so that
 * callers with wrong keys cannot use up the store's rate.
 *
 * @param readConfiguration false when the store gave no answer.
 */
internal class ConfigurationRefresher(
    private val clock: Clock,
    private val readConfiguration: suspend () -> Boolean,
) {
    private val mutex = Mutex()
    private var lastReadAtMs = Long.MIN_VALUE / 2
    private var lastReadSucceeded = false

    /** True when the configuration in force is no older than [MIN_READ_INTERVAL_MS]. */
    suspend fun refresh(): Boolean =
        mutex.withLock {
            if (clock.monotonicMs() - lastReadAtMs >= MIN_READ_INTERVAL_MS) {
                lastReadAtMs = clock.monotonicMs()
                lastReadSucceeded = withTimeoutOrNull(READ_TIMEOUT_MS) { readConfiguration() } ?: false
            }
            lastReadSucceeded
        }

    private companion object {
        private const val MIN_READ_INTERVAL_MS = 200L

        // The store answers within 4 ms; a request with a wrong key is not worth a longer wait.
        private const val READ_TIMEOUT_MS = 250L
    }
}

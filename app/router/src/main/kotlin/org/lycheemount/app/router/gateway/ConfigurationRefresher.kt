package org.lycheemount.app.router.gateway

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.Clock

/**
 * Rereads the configuration for requests whose route or key is unknown. Concurrent requests share one read, so that callers with
 * wrong keys cannot exhaust the store's rate limit.
 *
 * @param readConfiguration returns false if the store did not respond.
 */
internal class ConfigurationRefresher(
    private val clock: Clock,
    private val readConfiguration: suspend () -> Boolean,
) {
    private val mutex = Mutex()
    private var lastReadAtMs = Long.MIN_VALUE / 2
    private var lastReadSucceeded = false

    /** Returns true if the active configuration was read from the store within the last [MIN_READ_INTERVAL_MS]. */
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

        // The store normally responds within 4 ms. A request with an unknown key is not worth a longer wait.
        private const val READ_TIMEOUT_MS = 250L
    }
}

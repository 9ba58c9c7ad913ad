package org.lycheemount.app.router.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.Clock

/**
 * Makes sure that the active configuration is current before a request is refused for an unknown route or key. A confirmation serves all
 * requests of the next [MIN_CHECK_INTERVAL_MS], so that callers with wrong keys cannot exhaust the store's rate limit.
 *
 * @param isReceiving whether a response of the store is arriving, which may hold a newer version.
 * @param isBehind whether a peer has a newer version. A store that has come back from an older copy confirms a version that is not
 *   current until the operator has written the newest one again.
 * @param awaitCurrent returns true once all versions that were published before the call are active, or false if the store does not
 *   respond.
 */
internal class ConfigurationRefresher(
    private val clock: Clock,
    private val isReceiving: () -> Boolean = { false },
    private val isBehind: () -> Boolean = { false },
    private val awaitCurrent: suspend () -> Boolean,
) {
    @Volatile
    private var confirmedAsOfMs = Long.MIN_VALUE / 2

    /**
     * Returns true if the active configuration was current within the last [MIN_CHECK_INTERVAL_MS].
     *
     * @param patienceMs longest wait for a version that is arriving. A store that does not begin to respond is not waited for as long.
     */
    suspend fun refresh(patienceMs: Long): Boolean {
        val startedAtMs = clock.monotonicMs()
        if (startedAtMs - confirmedAsOfMs >= MIN_CHECK_INTERVAL_MS) {
            if (!check(startedAtMs + patienceMs)) return false
            confirmedAsOfMs = maxOf(confirmedAsOfMs, startedAtMs)
        }
        return !isBehind()
    }

    private suspend fun check(untilMs: Long): Boolean =
        coroutineScope {
            val check = async { awaitCurrent() }
            var result: Boolean?
            do {
                val remainingMs = untilMs - clock.monotonicMs()
                result = withTimeoutOrNull(minOf(remainingMs, RESPONSE_TIMEOUT_MS)) { check.await() }
            } while (result == null && remainingMs > RESPONSE_TIMEOUT_MS && isReceiving())
            check.cancel()
            result ?: false
        }

    private companion object {
        private const val MIN_CHECK_INTERVAL_MS = 200L

        // The store normally responds within 4 ms. A request with an unknown key is not worth a longer wait.
        private const val RESPONSE_TIMEOUT_MS = 250L
    }
}

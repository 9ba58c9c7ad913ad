package org.lycheemount.stream

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lycheemount.backend.CancelResponse
import org.lycheemount.backend.ModelEngineClient
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.EventLog
import org.lycheemount.common.RequestId

/**
 * Cancels generations to free their engine slots.
 *
 * Closing the connection does not free the slot, so the cancellation is retried until the engine responds or leaves the VM list.
 *
 * @param isGone whether a server has left the VM list, which ends the retries.
 * @param scope runs background cancellations.
 */
class EngineCanceller(
    private val engine: ModelEngineClient,
    private val isGone: (BackendServerId) -> Boolean,
    private val scope: CoroutineScope,
    private val eventLog: EventLog,
) {
    /**
     * Cancels [requestId] on [server]; returns null when the server has left the VM list.
     *
     * @param hasStarted whether the engine has responded to the generation request. If not, that request may still be in transit,
     *   so a "not found" response is retried.
     */
    suspend fun cancel(
        server: BackendServer,
        requestId: RequestId,
        hasStarted: Boolean,
    ): CancelResponse? {
        var backoffMs = INITIAL_BACKOFF_MS
        var notFoundRetriesLeft = if (hasStarted) 0 else NOT_FOUND_RETRIES
        while (true) {
            val response = engine.cancel(server, requestId)
            if (response != null && (response.wasFound || notFoundRetriesLeft-- <= 0)) return response
            if (response == null && isGone(server.backendServerId)) return reportServerGone(server, requestId)
            delay(backoffMs)
            backoffMs = (backoffMs * 2).coerceAtMost(MAX_BACKOFF_MS)
        }
    }

    /** Cancels a failed attempt that may still be running, without waiting for the engine. */
    fun cancelInBackground(
        server: BackendServer,
        requestId: RequestId,
    ) {
        scope.launch { cancel(server, requestId, hasStarted = true) }
    }

    private fun reportServerGone(
        server: BackendServer,
        requestId: RequestId,
    ): CancelResponse? {
        eventLog.warn("engine_cancel_given_up", "request_id" to requestId.value, "backend_server_id" to server.backendServerId.value)
        return null
    }

    private companion object {
        private const val INITIAL_BACKOFF_MS = 50L
        private const val MAX_BACKOFF_MS = 2_000L

        // The retries span about 350 ms, well above the latency of a request between two zones.
        private const val NOT_FOUND_RETRIES = 3
    }
}

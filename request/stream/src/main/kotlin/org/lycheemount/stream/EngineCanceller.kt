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
 * Frees the slot of a generation at its engine. Closing the connection does not, so the cancellation is repeated
 * until the engine has answered or is gone.
 *
 * @param isGone whether a server has left the VM list, which ends the attempts.
 * @param scope carries cancellations that nobody waits for.
 */
class EngineCanceller(
    private val engine: ModelEngineClient,
    private val isGone: (BackendServerId) -> Boolean,
    private val scope: CoroutineScope,
    private val eventLog: EventLog,
) {
    /**
     * Cancels [requestId] on [server]; null when the server is gone.
     *
     * @param started whether the engine has answered the generation; if not, the request may still be on its way and
     *   a "not found" is asked again.
     */
    suspend fun cancel(
        server: BackendServer,
        requestId: RequestId,
        started: Boolean,
    ): CancelResponse? {
        var waitMs = FIRST_WAIT_MS
        var notFoundLeft = if (started) 0 else NOT_FOUND_REPEATS
        while (true) {
            val answer = engine.cancel(server, requestId)
            if (answer != null && (answer.wasFound || notFoundLeft-- <= 0)) return answer
            if (answer == null && isGone(server.backendServerId)) return giveUp(server, requestId)
            delay(waitMs)
            waitMs = (waitMs * 2).coerceAtMost(MAX_WAIT_MS)
        }
    }

    /** Cancels in the background an attempt that has failed but may still run. */
    fun cancelAbandoned(
        server: BackendServer,
        requestId: RequestId,
    ) {
        scope.launch { cancel(server, requestId, started = true) }
    }

    private fun giveUp(
        server: BackendServer,
        requestId: RequestId,
    ): CancelResponse? {
        eventLog.warn("engine_cancel_given_up", "request_id" to requestId.value, "backend_server_id" to server.backendServerId.value)
        return null
    }

    private companion object {
        private const val FIRST_WAIT_MS = 50L
        private const val MAX_WAIT_MS = 2_000L

        // Together about 350 ms, well above the time of a request between two zones.
        private const val NOT_FOUND_REPEATS = 3
    }
}

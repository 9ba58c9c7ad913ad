package org.lycheemount.caller

import org.lycheemount.claims.RecordedOutcome
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import java.io.ByteArrayOutputStream

/** Records the response of a claimed request, so that retries with its idempotency key receive the same response. */
internal class ResponseRecorder {
    private val bytes = ByteArrayOutputStream()
    private var finalOutcome: RecordedOutcome? = null

    fun append(part: ByteArray) = bytes.write(part)

    fun finish(outcome: RecordedOutcome) {
        finalOutcome = outcome
    }

    fun finishStream() = finish(RecordedOutcome.Ran(HTTP_OK, "text/event-stream", bytes.toByteArray()))

    /** The outcome to record. A request that was not finished was aborted by its caller; it ran and was billed. */
    fun outcome(): RecordedOutcome = finalOutcome ?: disconnectedOutcome()

    private fun disconnectedOutcome(): RecordedOutcome {
        val refusal = Refusal(RefusalReason.CALLER_GONE, "the caller disconnected; the request was cancelled and billed")
        return RecordedOutcome.Ran(refusal.reason.httpStatus, "application/json", errorBody(refusal, WireOutcome.RAN).encodeToByteArray())
    }

    private companion object {
        private const val HTTP_OK = 200
    }
}

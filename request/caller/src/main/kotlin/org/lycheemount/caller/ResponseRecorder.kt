package org.lycheemount.caller

import org.lycheemount.claims.RecordedOutcome
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import java.io.ByteArrayOutputStream

/** Keeps what a claimed request has answered, so that retries with its idempotency key get the same. */
internal class ResponseRecorder {
    private val bytes = ByteArrayOutputStream()
    private var finalOutcome: RecordedOutcome? = null

    fun append(part: ByteArray) = bytes.write(part)

    fun finish(outcome: RecordedOutcome) {
        finalOutcome = outcome
    }

    fun finishStream() = finish(RecordedOutcome.Ran(HTTP_OK, "text/event-stream", bytes.toByteArray()))

    /** The outcome to record; a request without an end was cut short by its caller, ran and was billed. */
    fun outcome(): RecordedOutcome = finalOutcome ?: disconnectedOutcome()

    private fun disconnectedOutcome(): RecordedOutcome {
        val refusal = Refusal(RefusalReason.CALLER_GONE, "the caller left before the end of the answer, which was cancelled and billed")
        return RecordedOutcome.Ran(refusal.reason.httpStatus, "application/json", errorBody(refusal, WireOutcome.RAN).encodeToByteArray())
    }

    private companion object {
        private const val HTTP_OK = 200
    }
}

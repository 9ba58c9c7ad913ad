package org.lycheemount.caller.routed

import io.ktor.http.Headers
import org.lycheemount.backend.AttemptFailure
import org.lycheemount.backend.ResponseHead
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Refusal

/** Dialect of the test: `X-Id` names the request, `X-Tokens` its size, `X-Not-Run` a refusal of the server. */
internal object PlainDialect : RequestDialect {
    override fun readTerms(headers: Headers): RequestTerms {
        val tokens = headers["X-Tokens"]?.split(',')?.map { it.toInt() }
        return RequestTerms(headers["X-Id"], null, tokens?.get(0), tokens?.get(1) ?: 0, emptyList(), null)
    }

    override fun attemptHeaders(
        callerHeaders: Headers,
        attempt: AttemptTerms,
    ) = listOf("X-Id" to callerHeaders["X-Id"].orEmpty()) + listOfNotNull(attempt.resumeAfterEventId?.let { "Resume-After" to "$it" })

    override fun readAnswer(
        head: ResponseHead,
        callerRequestId: String?,
        serverId: BackendServerId,
    ) = AnswerTerms(head.header("X-Id") == callerRequestId, head.header("X-Not-Run")?.let { AttemptFailure.REFUSED_BUSY }, load = null)

    override fun refusalHead(
        refusal: Refusal,
        callerRequestId: String?,
        mayHaveRun: Boolean,
    ) = ResponseHead(refusal.reason.httpStatus, emptyList())
}

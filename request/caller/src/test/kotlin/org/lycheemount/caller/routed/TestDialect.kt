package org.lycheemount.caller.routed

import io.ktor.http.Headers
import org.lycheemount.backend.AttemptFailure
import org.lycheemount.backend.ResponseHead
import org.lycheemount.backend.ResponseOwner
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.CallerAttemptId
import org.lycheemount.common.Refusal

/**
 * Dialect for tests: `X-Id` is the request id, `X-Tokens` its prompt and output tokens, `X-Segments` the ids of its prompt segments;
 * `Last-Event-Id` marks a resumption of the stream that attempt `Resumes` began; `X-Not-Run` marks a refusal by the server, or one that says
 * that it has left if the value is `gone`, `X-Leaving` a server that leaves, and `X-Pause` one that wants no requests for so many seconds.
 */
internal object TestDialect : RequestDialect {
    override val tokensField = "X-Tokens"

    override fun readMetadata(headers: Headers): RequestMetadata {
        val stated = StatedTokens()
        val tokens = headers["X-Tokens"]?.split(',')?.map { stated.read("X-Tokens", it) }
        val segments = headers["X-Segments"]?.split(',').orEmpty().map { PromptSegment(it.toLong(), tokens = 1) }
        return RequestMetadata(
            requestId = headers["X-Id"],
            deadlineMs = null,
            promptTokens = tokens?.getOrNull(0),
            maxOutputTokens = tokens?.getOrNull(1),
            promptSegments = segments,
            lastEventId = headers["Last-Event-Id"]?.toLongOrNull(),
            resumesStream = headers.contains("Last-Event-Id"),
            attemptId = headers["X-Id"]?.ifEmpty { null }?.let(::CallerAttemptId),
            resumedAttemptId = headers["Resumes"]?.let(::CallerAttemptId),
            violation = stated.violation,
        )
    }

    override fun attemptHeaders(
        callerHeaders: Headers,
        attempt: AttemptMetadata,
    ) = listOf("X-Id" to callerHeaders["X-Id"].orEmpty()) +
        listOfNotNull((attempt.resumeAfterEventId?.toString() ?: callerHeaders["Last-Event-Id"])?.let { "Resume-After" to it })

    override fun readResponse(
        head: ResponseHead,
        callerRequestId: String?,
        serverId: BackendServerId,
    ): ResponseMetadata {
        val notRun = head.header("X-Not-Run")?.let { if (it == "gone") AttemptFailure.REFUSED_LEAVING else AttemptFailure.REFUSED_BUSY }
        val owner =
            when (head.header("X-Id")) {
                callerRequestId -> ResponseOwner.THIS_REQUEST
                null -> if (notRun == null) ResponseOwner.OTHER_REQUEST else ResponseOwner.UNIDENTIFIED
                else -> ResponseOwner.OTHER_REQUEST
            }
        return ResponseMetadata(
            owner,
            notRun,
            hasNotRunStatus = head.httpStatus == 503,
            load = null,
            isLeaving =
                head.header("X-Leaving") != null,
            pauseText = head.header("X-Pause"),
        )
    }

    override fun refusalHead(
        refusal: Refusal,
        callerRequestId: String?,
        mayHaveRun: Boolean,
    ) = ResponseHead(refusal.reason.httpStatus, emptyList())
}

package org.lycheemount.caller.routed

import io.ktor.http.Headers
import org.lycheemount.backend.AttemptFailure
import org.lycheemount.backend.ResponseHead
import org.lycheemount.backend.ResponseOwner
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.CallerAttemptId
import org.lycheemount.common.Refusal
import org.lycheemount.common.TeamId
import org.lycheemount.scheduling.LoadReport

/** Translates between the headers used by callers and backend servers of routes and the types of this router. Thread-safe. */
interface RequestDialect {
    /** Name of the header in which callers state their prompt tokens and the maximum of their output tokens, for error messages. */
    val tokensField: String

    /** Parses the request headers. Malformed values are treated as absent, numbers that are out of range also as a violation. */
    fun readMetadata(headers: Headers): RequestMetadata

    /** Returns the headers of one attempt: the caller's headers that may be forwarded, and those set by the router. */
    fun attemptHeaders(
        callerHeaders: Headers,
        attempt: AttemptMetadata,
    ): List<Pair<String, String>>

    /** Parses the head of a backend server's response to the request [callerRequestId]. */
    fun readResponse(
        head: ResponseHead,
        callerRequestId: String?,
        serverId: BackendServerId,
    ): ResponseMetadata

    /** Status and headers of the router's own response to a request that was refused or whose outcome is unknown. */
    fun refusalHead(
        refusal: Refusal,
        callerRequestId: String?,
        mayHaveRun: Boolean,
    ): ResponseHead
}

/**
 * Request metadata from the caller.
 *
 * @property requestId id that the caller assigned to this attempt.
 * @property deadlineMs time from arrival after which the response is no longer needed.
 * @property promptTokens null if the caller does not tell, or not in a readable form.
 * @property maxOutputTokens null if the caller does not tell, or not in a readable form.
 * @property lastEventId id of the event after which the caller resumes a stream; null if it does not tell, or not in a readable form.
 * @property resumesStream whether the caller has received a part of the stream already, even if it does not tell which.
 * @property attemptId [requestId] in the form in which other attempts refer to it; null if it is missing or too long for that.
 * @property resumedAttemptId the attempt that brought the first event of the stream that the caller resumes; null if it does not tell.
 * @property violation names a number of tokens that is out of range, and the accepted range; null if there is none.
 */
class RequestMetadata(
    val requestId: String?,
    val deadlineMs: Long?,
    val promptTokens: Int?,
    val maxOutputTokens: Int?,
    val promptSegments: List<PromptSegment>,
    val lastEventId: Long? = null,
    val resumesStream: Boolean = false,
    val attemptId: CallerAttemptId? = null,
    val resumedAttemptId: CallerAttemptId? = null,
    val violation: String? = null,
) {
    /** Maximum number of tokens that the request can use; null when the caller does not tell both figures. */
    val maxTokens: Long? = if (promptTokens == null || maxOutputTokens == null) null else promptTokens.toLong() + maxOutputTokens

    /** Beginning of [requestId], for log lines of bounded length. */
    val loggedId: String? get() = requestId?.take(MAX_LOGGED_ID_CHARS)

    private companion object {
        private const val MAX_LOGGED_ID_CHARS = 200
    }
}

/**
 * A segment of a prompt; prompts may have a common prefix of segments.
 *
 * @property tokens within [StatedTokens.ACCEPTED], also the total of all segments of a prompt.
 */
class PromptSegment(
    val id: Long,
    val tokens: Int,
)

/**
 * Metadata sent to a backend server with one attempt.
 *
 * @property remainingMs time until the response is no longer needed.
 * @property resumeAfterEventId id of the event after which the stream resumes; null for the caller's own value.
 */
class AttemptMetadata(
    val serverId: BackendServerId,
    val teamId: TeamId?,
    val remainingMs: Long,
    val resumeAfterEventId: Long? = null,
)

/**
 * Metadata from the head of a backend server response.
 *
 * @property owner the request to which the response belongs.
 * @property notRun the failure when the server reports that it did not run the request, else null.
 * @property hasNotRunStatus whether callers take the status as a promise that the request did not run, also without [notRun].
 * @property load null when the server does not report its load.
 * @property unusableWorkTimeText the figure in [load] for the time that work takes, as the server wrote it, if it cannot be used.
 * @property requestLimitText the rate of requests that the server takes from all routers together, as it wrote it; null if it names none.
 * @property isLeaving whether the server says that it is about to shut down.
 * @property pauseText seconds for which the server, which turns the request away, wants no other one from this router, as it wrote them;
 *   null if it asks for no pause.
 */
class ResponseMetadata(
    val owner: ResponseOwner,
    val notRun: AttemptFailure?,
    val hasNotRunStatus: Boolean,
    val load: LoadReport?,
    val unusableWorkTimeText: String? = null,
    val requestLimitText: String? = null,
    val isLeaving: Boolean = false,
    val pauseText: String? = null,
)

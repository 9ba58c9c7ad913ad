package org.lycheemount.caller.routed

import io.ktor.http.Headers
import org.lycheemount.backend.AttemptFailure
import org.lycheemount.backend.ResponseHead
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Refusal
import org.lycheemount.common.TeamId
import org.lycheemount.scheduling.LoadReport

/** Translates between the headers that callers and backend servers of routes use and the terms of this router. Thread-safe. */
interface RequestDialect {
    /** Reads what a caller states about its request. Values that cannot be read count as absent. */
    fun readTerms(headers: Headers): RequestTerms

    /** Returns the headers of one attempt: those of the caller that may be passed on, and those that the router sets. */
    fun attemptHeaders(
        callerHeaders: Headers,
        attempt: AttemptTerms,
    ): List<Pair<String, String>>

    /** Reads what a backend server states in the head of its answer to the request [callerRequestId]. */
    fun readAnswer(
        head: ResponseHead,
        callerRequestId: String?,
        serverId: BackendServerId,
    ): AnswerTerms

    /** Status and headers in which the router itself answers a request that was refused or whose outcome is unknown. */
    fun refusalHead(
        refusal: Refusal,
        callerRequestId: String?,
        mayHaveRun: Boolean,
    ): ResponseHead
}

/**
 * What a caller states about its request.
 *
 * @property requestId the caller's id of this attempt.
 * @property deadlineMs time from arrival after which the answer is no longer wanted.
 * @property promptTokens null for requests that are not addressed to a model.
 * @property lastEventId event after which a stream is to go on.
 */
class RequestTerms(
    val requestId: String?,
    val deadlineMs: Long?,
    val promptTokens: Int?,
    val maxOutputTokens: Int,
    val promptParts: List<PromptPart>,
    val lastEventId: Long?,
)

/** A part of a prompt, which other prompts may share from their start. */
class PromptPart(
    val id: Long,
    val tokens: Int,
)

/**
 * What the router states to a backend server in one attempt.
 *
 * @property remainingMs time until the answer is no longer wanted.
 * @property resumeAfterEventId event after which a stream is to go on; null for the caller's own value.
 */
class AttemptTerms(
    val serverId: BackendServerId,
    val teamId: TeamId?,
    val remainingMs: Long,
    val resumeAfterEventId: Long? = null,
)

/**
 * What a backend server states in the head of an answer.
 *
 * @property isOwn whether the answer belongs to the request.
 * @property notRun set when the server states that it did not run the request.
 * @property load null when the server does not tell its load.
 */
class AnswerTerms(
    val isOwn: Boolean,
    val notRun: AttemptFailure?,
    val load: LoadReport?,
)

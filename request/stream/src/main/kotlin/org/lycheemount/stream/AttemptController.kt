package org.lycheemount.stream

import org.lycheemount.backend.AttemptFailure
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Refusal

/** Selects servers for the attempts of one request and receives the result of each attempt. */
interface AttemptController {
    /** Waits for a server outside [excluded] that can accept the request. */
    suspend fun acquire(excluded: Set<BackendServerId>): AttemptPermit

    /** Consumes one retry from the retry budget of the team and route; returns false when it is exhausted. */
    fun tryRetry(): Boolean

    /** Called when the current attempt has delivered its first token. */
    fun onFirstToken()

    /** Called when the current attempt has succeeded. */
    fun onCompleted(
        outputTokens: Int,
        cachedPromptTokens: Int,
    )

    /** Called when the current attempt has failed. */
    fun onFailed(failure: AttemptFailure)
}

/** Result of waiting for a server. */
sealed interface AttemptPermit {
    /** The request may be sent to [server] with the engine [priority]. */
    data class Granted(
        val server: BackendServer,
        val priority: Int,
    ) : AttemptPermit

    /** The request was refused without a server. */
    data class Refused(
        val refusal: Refusal,
    ) : AttemptPermit
}

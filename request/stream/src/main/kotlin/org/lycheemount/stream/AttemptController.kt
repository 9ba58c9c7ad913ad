package org.lycheemount.stream

import org.lycheemount.backend.AttemptFailure
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Refusal

/** Finds servers for the attempts of one request and learns how they went. */
interface AttemptController {
    /** Waits for a server outside [excluded] that may take the request now. */
    suspend fun acquire(excluded: Set<BackendServerId>): AttemptPermit

    /** Takes one retry out of the retry budget of the team and route; false when it is used up. */
    fun tryRetry(): Boolean

    /** The running attempt has delivered its first token. */
    fun onFirstToken()

    /** The running attempt has ended well. */
    fun onCompleted(
        outputTokens: Int,
        cachedPromptTokens: Int,
    )

    /** The running attempt has failed. */
    fun onFailed(failure: AttemptFailure)
}

/** Outcome of a wait for a server. */
sealed interface AttemptPermit {
    /** The request goes to [server] with the engine [priority]. */
    data class Granted(
        val server: BackendServer,
        val priority: Int,
    ) : AttemptPermit

    /** No server will take the request. */
    data class Refused(
        val refusal: Refusal,
    ) : AttemptPermit
}

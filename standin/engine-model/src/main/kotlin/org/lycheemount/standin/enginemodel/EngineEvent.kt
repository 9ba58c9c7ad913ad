package org.lycheemount.standin.enginemodel

import org.lycheemount.common.RequestId

/** Event of the engine at virtual time [atUs]. */
sealed interface EngineEvent {
    val requestId: RequestId
    val atUs: Long

    /** The output token at [index], counted from the start of the whole completion, has been generated. */
    data class Token(
        override val requestId: RequestId,
        override val atUs: Long,
        val index: Int,
        val isFirstOfAttempt: Boolean,
    ) : EngineEvent

    /** The request has ended for [reason]; [totalTokens] counts from the start of the whole completion. */
    data class Finished(
        override val requestId: RequestId,
        override val atUs: Long,
        val reason: String,
        val totalTokens: Int,
        val cachedPromptTokens: Int,
    ) : EngineEvent
}

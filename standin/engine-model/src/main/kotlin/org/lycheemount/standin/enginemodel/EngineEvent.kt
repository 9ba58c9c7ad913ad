package org.lycheemount.standin.enginemodel

import org.lycheemount.common.RequestId

/** Something that the engine has done, with the virtual time at which it was done. */
sealed interface EngineEvent {
    val requestId: RequestId
    val atUs: Long

    /** The output token at [index], counted from the start of the whole answer, is ready. */
    data class Token(
        override val requestId: RequestId,
        override val atUs: Long,
        val index: Int,
        val isFirstOfAttempt: Boolean,
    ) : EngineEvent

    /** The answer is complete; [totalTokens] counts from the start of the whole answer. */
    data class Finished(
        override val requestId: RequestId,
        override val atUs: Long,
        val reason: String,
        val totalTokens: Int,
        val cachedPromptTokens: Int,
    ) : EngineEvent
}

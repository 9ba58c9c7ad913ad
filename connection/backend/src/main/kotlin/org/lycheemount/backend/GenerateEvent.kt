package org.lycheemount.backend

import org.lycheemount.common.RequestId

/** Event of a generation on an engine. */
sealed interface GenerateEvent {
    /** Output tokens. Chunks may arrive late, duplicated or out of order. */
    data class Tokens(
        val requestId: RequestId,
        val sequence: Int,
        val tokens: List<String>,
    ) : GenerateEvent

    /** The engine ended the completion; [totalTokens] counts all output tokens from the start of the completion. */
    data class Finished(
        val requestId: RequestId,
        val reason: String,
        val totalTokens: Int,
        val cachedPromptTokens: Int,
    ) : GenerateEvent

    /** The attempt failed. */
    data class Failed(
        val failure: AttemptFailure,
    ) : GenerateEvent
}

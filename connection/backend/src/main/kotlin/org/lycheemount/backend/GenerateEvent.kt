package org.lycheemount.backend

import org.lycheemount.common.RequestId

/** What arrives while an engine generates. */
sealed interface GenerateEvent {
    /** Output tokens; chunks may arrive late, twice or out of order. */
    data class Tokens(
        val requestId: RequestId,
        val sequence: Int,
        val tokens: List<String>,
    ) : GenerateEvent

    /** The engine has ended the answer; [totalTokens] counts all output tokens from the start of the answer. */
    data class Finished(
        val requestId: RequestId,
        val reason: String,
        val totalTokens: Int,
        val cachedPromptTokens: Int,
    ) : GenerateEvent

    /** The attempt has failed. */
    data class Failed(
        val failure: AttemptFailure,
    ) : GenerateEvent
}

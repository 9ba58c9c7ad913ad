package org.lycheemount.stream

import org.lycheemount.common.Refusal

/** Result of [CompletionStream.next]. */
sealed interface CompletionStep {
    /** The next output tokens, in order and without gaps. */
    data class Tokens(
        val tokens: List<String>,
    ) : CompletionStep

    /** The last step. */
    sealed interface End : CompletionStep

    /** The completion has ended; [outputTokens] counts the output tokens of all attempts. */
    data class Finished(
        val reason: String,
        val outputTokens: Int,
        val cachedPromptTokens: Int,
    ) : End

    /** No engine has run the request. */
    data class NotRun(
        val refusal: Refusal,
    ) : End

    /** The completion failed after [deliveredTokens] tokens. With zero tokens, it is unknown whether the request ran. */
    data class Broken(
        val refusal: Refusal,
        val deliveredTokens: Int,
    ) : End
}

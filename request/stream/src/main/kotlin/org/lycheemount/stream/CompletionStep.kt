package org.lycheemount.stream

import org.lycheemount.common.Refusal

/** What [CompletionStream.next] returns. */
sealed interface CompletionStep {
    /** The next output tokens, in order and without gaps. */
    data class Tokens(
        val tokens: List<String>,
    ) : CompletionStep

    /** The last step. */
    sealed interface End : CompletionStep

    /** The answer is complete; [outputTokens] counts it from its start. */
    data class Finished(
        val reason: String,
        val outputTokens: Int,
        val cachedPromptTokens: Int,
    ) : End

    /** No engine has taken up the request. */
    data class NotRun(
        val refusal: Refusal,
    ) : End

    /** The answer broke off after [deliveredTokens] tokens and cannot be continued. With none, it is not known whether it ran. */
    data class Broken(
        val refusal: Refusal,
        val deliveredTokens: Int,
    ) : End
}

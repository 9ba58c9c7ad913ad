package org.lycheemount.scheduling

/** Progress of a started request. */
sealed interface ServiceEvent {
    /** The first token, or the head of a plain service's answer, has come. */
    data object FirstToken : ServiceEvent

    /** The answer is complete. */
    data class Completed(
        val outputTokens: Int,
        val cachedPromptTokens: Int = 0,
    ) : ServiceEvent

    /** The attempt has failed; the owner decides on a retry and submits it anew. */
    data class Failed(
        val kind: FailureKind,
    ) : ServiceEvent
}

/** Ways in which an attempt at a backend server fails. */
enum class FailureKind {
    CONNECT_FAILED,
    REFUSED_BUSY,
    REFUSED_LEAVING,
    TIMED_OUT,
    BROKEN_STREAM,
    SERVER_ERROR,
}

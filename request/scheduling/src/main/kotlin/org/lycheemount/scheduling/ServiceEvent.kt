package org.lycheemount.scheduling

/** Progress of a started request. */
sealed interface ServiceEvent {
    /** The first token, or the response head of a plain service, has arrived. */
    data object FirstToken : ServiceEvent

    /** The response is complete. */
    data class Completed(
        val outputTokens: Int,
        val cachedPromptTokens: Int = 0,
    ) : ServiceEvent

    /** The attempt has failed. The owner decides whether to retry it by another submission. */
    data class Failed(
        val kind: FailureKind,
    ) : ServiceEvent
}

/** Kinds of failure of an attempt at a backend server. */
enum class FailureKind {
    CONNECT_FAILED,
    REFUSED_BUSY,
    REFUSED_LEAVING,
    TIMED_OUT,
    BROKEN_STREAM,
    SERVER_ERROR,
}

package org.lycheemount.scheduling

private const val REFUSAL_RETENTION_MS = 60_000L

// The server goes on serving for at least twice as long, so that requests which start within this time can end.
private const val LAST_REQUESTS_MS = 1_000L

/**
 * What is known about the shutdown of one run of a backend server from the server itself: from what it says in its responses, here or to
 * another router, and from requests that it refused because it leaves.
 */
internal class ServerDeparture {
    private var refusedUntilMs = Long.MIN_VALUE

    /** What the server has said last; null if nothing. */
    var statement: LeavingStatement? = null
        private set

    private val saidAtMs: Long? get() = statement?.takeIf { it.isLeaving }?.asOfMs

    /** The server has refused a request because it leaves. */
    fun onRefused(nowMs: Long) {
        refusedUntilMs = nowMs + REFUSAL_RETENTION_MS
    }

    fun onStatement(said: LeavingStatement) {
        statement = said
    }

    fun isLeaving(nowMs: Long): Boolean = saidAtMs != null || nowMs < refusedUntilMs

    /** Time until which the server may get requests that no other server can take; null if it may not. */
    fun lastRequestsEndMs(nowMs: Long): Long? = saidAtMs?.plus(LAST_REQUESTS_MS)?.takeIf { nowMs in refusedUntilMs until it }
}

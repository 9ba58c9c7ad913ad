package org.lycheemount.caller

/**
 * Bounds the retries of one team on one route to a share of its requests, so that retries do not multiply load
 * when many servers fail. Pure; not thread-safe.
 */
internal class RetryBudget {
    private var credit = INITIAL_CREDIT

    /** Counts a first attempt, which earns a share of a retry. */
    fun onRequest() {
        credit = (credit + CREDIT_PER_REQUEST).coerceAtMost(MAX_CREDIT)
    }

    /** Takes one retry if the budget has it. */
    fun tryRetry(): Boolean {
        if (credit < 1) return false
        credit -= 1
        return true
    }

    private companion object {
        // A fifth of requests may be retried in the long run: load grows by at most 20% when every attempt fails.
        private const val CREDIT_PER_REQUEST = 0.2

        // Lets a team with little traffic survive the loss of one server with several streams on it.
        private const val INITIAL_CREDIT = 10.0
        private const val MAX_CREDIT = 50.0
    }
}

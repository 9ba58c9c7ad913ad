package org.lycheemount.caller

/**
 * Token bucket that limits the retries of one team on one route to a fraction of its requests, so that retries do not multiply the
 * load when many servers fail. Does no I/O; not thread-safe.
 */
internal class RetryBudget {
    private var credit = INITIAL_CREDIT

    /** Counts the first attempt of a request, which adds a fraction of a retry to the budget. */
    fun onRequest() {
        credit = (credit + CREDIT_PER_REQUEST).coerceAtMost(MAX_CREDIT)
    }

    /** Consumes one retry; returns false when the budget is exhausted. */
    fun tryRetry(): Boolean {
        if (credit < 1) return false
        credit -= 1
        return true
    }

    private companion object {
        // In the long run one in five requests may be retried, so load grows by at most 20% when every attempt fails.
        private const val CREDIT_PER_REQUEST = 0.2

        // Allows a low-traffic team to retry all of its streams when one server with several of them is lost.
        private const val INITIAL_CREDIT = 10.0
        private const val MAX_CREDIT = 50.0
    }
}

package org.lycheemount.budget

/** State of one request in the ledger. Guarded by the monitor of [account]. */
internal class Reservation(
    val account: BudgetAccount,
    val grant: Grant,
    var tokens: Long,
    val worstCaseTokens: Long,
) {
    var bill: Bill? = null

    /** Monotonic time from which the written bill may be forgotten. */
    @Volatile
    var evictAtMs = Long.MAX_VALUE
}

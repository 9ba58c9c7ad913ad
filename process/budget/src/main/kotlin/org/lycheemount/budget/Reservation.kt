package org.lycheemount.budget

/** Reservation of one request. Guarded by the monitor of [account]. */
internal class Reservation(
    val account: BudgetAccount,
    val grant: Grant,
    var tokens: Long,
    val worstCaseTokens: Long,
) {
    var bill: Bill? = null

    /** Monotonic time at which the reservation may be removed; set once its bill is written. */
    @Volatile
    var evictAtMs = Long.MAX_VALUE
}

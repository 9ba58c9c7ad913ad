package org.lycheemount.budget

/**
 * Policy of grants, flushes and transfers.
 *
 * @property expectedOutageMs duration of a table outage that a grant should cover.
 * @property outageGraceMs time after the table contact recorded in a grant row in which the row's ceiling binds its holder most. Must
 *   be the same on all routers.
 * @property driftMarginMs safety margin of reclaim for clocks that run at different speeds; part of [outageGraceMs].
 * @property flushIntervalMs interval between writes of bills.
 * @property fleetFlushesPerSecond flushes of all routers together that the table should handle; a large fleet flushes less often than
 *   each [flushIntervalMs], but at least three times in [outageGraceMs]. Null for no limit.
 * @property tickIntervalMs time between passes of the background work while an account lacks tokens or the table does not respond.
 * @property billsPerTransaction maximum number of bills in a transaction.
 * @property rowsPerTransaction maximum number of grant rows in a transaction that holds [billsPerTransaction] bills. A transaction
 *   with fewer bills may hold as many more rows.
 * @property retryDelayMs initial delay after a failed table call; doubles with each failure up to [retryDelayMaxMs].
 * @property peerTimeoutMs timeout of a call to a peer.
 * @property vmListIntervalMs average interval between reads of the VM list.
 * @property idleReturnMs idle time after which a router returns its whole grant.
 * @property replicaWriteDelayMs age at which a replicated bill is written even though its owner still exists.
 * @property drainTimeoutMs timeout of [BudgetMaintenance.drain].
 * @property settledRetentionMs time for which a written bill is kept in memory, so that a repeated settlement returns it.
 * @property targetFreeReservations minimum target for the free tokens of a grant, as a multiple of the largest recent reservation.
 * @property ceilingReservations headroom of a ceiling above the current use, as a multiple of the largest recent reservation.
 * @property excessReturnDelayMs time after a refill before excess free tokens are returned.
 * @property rateWindowMs averaging window of the spend rate.
 * @property ceilingSpendFactor headroom of a ceiling at the end of [outageGraceMs], as a multiple of the spend expected in that time.
 * @property ceilingInitialSpanMs part of [outageGraceMs] whose spend a ceiling covers from the start; the rest accrues over time.
 * @property ceilingReleaseMs time after [outageGraceMs] in which a ceiling releases the rest of its grant, or more if the measured spend
 *   needs more. The longer it is, the more of the grants can be reclaimed if routers end in a long outage. Null releases all at once,
 *   and the grant of a router that ends after the grace then stays charged.
 * @property ceilingUnmeasuredShare part of the free tokens by which a ceiling is higher before the first use; the addition ends when the
 *   spend has been measured for a whole [rateWindowMs].
 * @property ceilingBudgetShare part of the tokens of an unused budget by which the ceilings of all routers together exceed the use, until
 *   [outageGraceMs] after the last contact. Of a budget that is half used, it is half of this part of the unused tokens, and so on. A loss
 *   of all routers strands about as many. A request above its router's ceiling waits for a write of the row. Null for no limit.
 * @property holdsEqualShare whether a grant targets at least this router's equal share of the unallocated tokens. Most of a budget is
 *   then available on routers during an outage, even before they have measured their spend.
 * @property demandShare part of the unallocated tokens that a router may take at once for its measured spend. A value above 0 suits
 *   budgets whose callers use few routers, but the first router to refill may then hold most of a nearly used-up budget.
 * @property sizesByTypicalReservation whether ceilings leave headroom for reservations of typical rather than of the largest size. A
 *   rare large reservation then waits for the table, or is refused during an outage, and less is charged when a router fails.
 * @property unavailableRetryMs retry delay sent to callers that were refused because this router lacked tokens.
 */
data class BudgetOptions(
    val expectedOutageMs: Long = 3_600_000,
    val outageGraceMs: Long = 120_000,
    val driftMarginMs: Long = 12_000,
    val flushIntervalMs: Long = 1_000,
    val fleetFlushesPerSecond: Int? = null,
    val tickIntervalMs: Long = 250,
    val billsPerTransaction: Int = 256,
    val rowsPerTransaction: Int = 64,
    val retryDelayMs: Long = 250,
    val retryDelayMaxMs: Long = 5_000,
    val peerTimeoutMs: Long = 1_000,
    val vmListIntervalMs: Long = 5_000,
    val idleReturnMs: Long = 600_000,
    val replicaWriteDelayMs: Long = 300_000,
    val drainTimeoutMs: Long = 30_000,
    val settledRetentionMs: Long = 60_000,
    val targetFreeReservations: Double = 8.0,
    val ceilingReservations: Double = 4.0,
    val excessReturnDelayMs: Long = 30_000,
    val rateWindowMs: Long = 60_000,
    val ceilingSpendFactor: Double = 2.0,
    val ceilingInitialSpanMs: Long = outageGraceMs,
    val ceilingReleaseMs: Long? = null,
    val ceilingUnmeasuredShare: Double = 0.0,
    val ceilingBudgetShare: Double? = null,
    val holdsEqualShare: Boolean = false,
    val demandShare: Double = 0.0,
    val sizesByTypicalReservation: Boolean = false,
    val unavailableRetryMs: Long = 1_000,
) {
    init {
        require(driftMarginMs in 0 until outageGraceMs) { "driftMarginMs must be below outageGraceMs" }
        require(ceilingInitialSpanMs in 0..outageGraceMs) { "ceilingInitialSpanMs must be in 0..outageGraceMs" }
        require(flushIntervalMs in 1 until outageGraceMs / 2) { "flushIntervalMs must be below half of outageGraceMs" }
    }
}

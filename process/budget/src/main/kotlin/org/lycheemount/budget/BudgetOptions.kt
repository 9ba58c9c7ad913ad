package org.lycheemount.budget

/**
 * Policy of grants, flushes and transfers.
 *
 * @property expectedOutageMs length of a table outage that a grant should outlast.
 * @property outageGraceMs time after the table contact named in a grant row from which its holder may exceed the row's ceiling;
 *   the same on every router of a fleet.
 * @property driftMarginMs part of the grace that reclaim gives up for clocks that run at different speeds.
 * @property flushIntervalMs time between two writes of bills.
 * @property tickIntervalMs longest time between two passes of the background work.
 * @property billsPerTransaction most bills in one transaction.
 * @property rowsPerTransaction most grant rows in one transaction.
 * @property retryDelayMs first delay after a failed table call; doubles up to [retryDelayMaxMs].
 * @property peerTimeoutMs time to wait for the answer of a peer.
 * @property vmListIntervalMs time between two reads of the VM list.
 * @property idleReturnMs time without a request after which a router returns its whole grant.
 * @property replicaWriteDelayMs age from which a replicated bill is written although its owner still exists.
 * @property drainTimeoutMs longest time that [BudgetMaintenance.drain] waits for the table.
 * @property settledRetentionMs time for which a written bill is remembered, so that a second settlement returns it.
 * @property targetFreeReservations free tokens that a grant aims at, as a multiple of the largest reservation seen lately.
 * @property ceilingReservations room of a ceiling above the present use, as a multiple of the largest reservation seen lately.
 * @property excessReturnDelayMs time after a refill before free tokens far above the target are returned.
 * @property rateWindowMs time over which the rate of spend is averaged.
 * @property ceilingSpendFactor room of a ceiling above the present use at the end of [outageGraceMs], as a multiple of the spend of
 *   that time.
 * @property ceilingInitialSpanMs part of [outageGraceMs] whose spend a ceiling covers at the contact; the rest is added as time passes.
 * @property holdsEqualShare whether a grant aims at no less than this router's equal share of what is unallocated, so that an outage
 *   finds most of a budget in the hands of routers also before they have measured their spend.
 * @property demandShare part of what is unallocated that one router may take at once for a spend that it has measured. Above 0 it
 *   serves budgets whose callers keep to few routers; the first router to ask may then hold most of a budget that is nearly used up.
 * @property sizesByTypicalReservation whether ceilings have room for reservations of typical rather than of the largest size; the
 *   rare large one then waits for the table, or is refused during an outage, and less is charged when a router dies.
 * @property unavailableRetryMs delay after which callers that were refused for want of tokens here may return.
 */
data class BudgetOptions(
    val expectedOutageMs: Long = 3_600_000,
    val outageGraceMs: Long = 120_000,
    val driftMarginMs: Long = 12_000,
    val flushIntervalMs: Long = 1_000,
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

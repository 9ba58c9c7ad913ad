package org.lycheemount.budget

import kotlin.math.ceil

/**
 * Demand of a router for tokens of one budget.
 *
 * @property freeTokens unused tokens of its grant.
 * @property ratePerMs measured spend in tokens per millisecond.
 * @property unmetDemandTokens tokens that a refused request needs; 0 for none.
 * @property routers number of routers that may draw on the budget.
 */
internal data class GrantDemand(
    val freeTokens: Long,
    val ratePerMs: Double,
    val largestReservationTokens: Long,
    val unmetDemandTokens: Long,
    val routers: Int,
)

/** Target for free tokens by demand alone: enough for an outage of the expected duration. */
internal fun demandTargetTokens(
    demand: GrantDemand,
    options: BudgetOptions,
): Long {
    val outageTokens = ceil(demand.ratePerMs * options.expectedOutageMs * OUTAGE_FACTOR).toLong()
    return maxOf(
        outageTokens,
        (demand.largestReservationTokens * options.targetFreeReservations).toLong(),
        demand.unmetDemandTokens * UNMET_DEMAND_FACTOR,
    )
}

/** Target for free tokens while [unallocatedTokens] of the budget are left. */
internal fun targetFreeTokens(
    demand: GrantDemand,
    unallocatedTokens: Long,
    options: BudgetOptions,
): Long {
    val targetTokens = demandTargetTokens(demand, options)
    return if (options.holdsEqualShare) maxOf(targetTokens, unallocatedTokens / (demand.routers + 1)) else targetTokens
}

/**
 * Free tokens above which a router returns some. The equal share shrinks as the other routers take theirs, so a router that was the first
 * to take one returns tokens only far above it.
 */
internal fun excessLimitTokens(
    demand: GrantDemand,
    unallocatedTokens: Long,
    options: BudgetOptions,
): Long {
    val equalShareTokens = if (options.holdsEqualShare) unallocatedTokens / (demand.routers + 1) else 0
    return maxOf(demandTargetTokens(demand, options) * EXCESS_FACTOR, equalShareTokens * EQUAL_SHARE_EXCESS_FACTOR)
}

/**
 * Tokens to take from [unallocatedTokens] now; 0 above the low-water mark. A router takes at most its equal share of the unallocated
 * tokens, or [BudgetOptions.demandShare] of them for its measured spend. Grants thus shrink as the budget is used up, and no router
 * takes the rest of it ahead of need.
 */
internal fun refillTokens(
    demand: GrantDemand,
    unallocatedTokens: Long,
    options: BudgetOptions,
): Long {
    val targetTokens = targetFreeTokens(demand, unallocatedTokens, options)
    val shortfallTokens = targetTokens - demand.freeTokens
    val urgentTokens = (demand.unmetDemandTokens - demand.freeTokens).coerceAtLeast(0)
    if (urgentTokens == 0L && demand.freeTokens >= targetTokens * LOW_WATER_SHARE) return 0
    val equalShareTokens = unallocatedTokens / (demand.routers + 1)
    val equalShareRefillTokens = minOf(shortfallTokens, equalShareTokens - (demand.freeTokens - equalShareTokens).coerceAtLeast(0))
    val demandRefillTokens = demandTargetTokens(demand, options) - demand.freeTokens
    val plannedTokens = maxOf(equalShareRefillTokens, minOf(demandRefillTokens, (unallocatedTokens * options.demandShare).toLong()), 0)
    if (urgentTokens == 0L && plannedTokens < demand.largestReservationTokens) return 0
    return minOf(maxOf(plannedTokens, urgentTokens), unallocatedTokens)
}

/**
 * Ceiling of a grant, relative to its current use.
 *
 * @property headroomTokens what may be used at once.
 * @property growthTokensPerMs growth with the time since the last contact, until the outage grace ends.
 * @property graceEndTokens step when the outage grace ends.
 */
internal data class CeilingShape(
    val headroomTokens: Long,
    val growthTokensPerMs: Double,
    val graceEndTokens: Long = 0,
) {
    /** Headroom once a grace of [outageGraceMs] has ended. */
    fun afterGraceTokens(outageGraceMs: Long): Long = headroomTokens + (growthTokensPerMs * outageGraceMs).toLong() + graceEndTokens
}

/**
 * State of a grant that decides its ceiling.
 *
 * @property awaitedTokens tokens that requests and peers are waiting for; 0 for none.
 * @property unallocatedTokens tokens of the budget that no grant holds.
 * @property limitTokens limit of the budget; 0 while it is unknown.
 * @property routers number of routers that may draw on the budget.
 */
internal data class CeilingDemand(
    val freeTokens: Long,
    val awaitedTokens: Long,
    val unallocatedTokens: Long,
    val limitTokens: Long,
    val routers: Int,
)

/**
 * Ceiling by the measured spend. Until the outage grace ends, it is lowered to [BudgetOptions.ceilingBudgetShare] of the unused tokens, and
 * to less as the budget is used up, because routers may end without a trace of what they used. A fleet so large that its flushes fill
 * their share of the table has no transactions to spare for requests that wait for a higher ceiling, so it is not limited.
 */
internal fun ceilingShape(
    meter: SpendMeter,
    demand: CeilingDemand,
    options: BudgetOptions,
): CeilingShape {
    val spendShape = spendCeilingShape(meter, demand.freeTokens, options)
    val budgetShare = options.ceilingBudgetShare.takeIf { flushIntervalMs(demand.routers, options) <= options.flushIntervalMs }
    if (budgetShare == null) return spendShape.copy(headroomTokens = maxOf(spendShape.headroomTokens, demand.awaitedTokens))
    val graceTokens = graceTokens(meter, demand, budgetShare, options)
    val headroomTokens = minOf(spendShape.headroomTokens, graceTokens)
    return CeilingShape(
        headroomTokens = maxOf(headroomTokens, demand.awaitedTokens),
        growthTokensPerMs = minOf(spendShape.growthTokensPerMs, (graceTokens - headroomTokens).toDouble() / options.outageGraceMs),
        graceEndTokens = (spendShape.afterGraceTokens(options.outageGraceMs) - graceTokens).coerceAtLeast(0),
    )
}

/** Tokens that a router may use without the table until the outage grace ends, by what is left of the budget. */
private fun graceTokens(
    meter: SpendMeter,
    demand: CeilingDemand,
    budgetShare: Double,
    options: BudgetOptions,
): Long {
    val unusedTokens = demand.freeTokens.coerceAtLeast(0) + demand.unallocatedTokens.coerceAtLeast(0) / demand.routers
    val unusedShare = if (demand.limitTokens > 0) minOf(1.0, unusedTokens.toDouble() * demand.routers / demand.limitTokens) else 1.0
    val intervalTokens = ceil(meter.ratePerMs * options.flushIntervalMs).toLong()
    return maxOf((unusedTokens * unusedShare * budgetShare).toLong(), intervalTokens)
}

/**
 * Ceiling that covers the expected spend until the end of the outage grace, minus the part that its growth adds over time, plus a few
 * reservations. Until the spend has been measured for a whole window, a part of the [freeTokens] of the grant is added, so that the first
 * requests of a team need not wait for the table. Because of the growth, the predecessor can have spent only little at a quick restart,
 * while a router that loses the table for longer is not limited by its ceiling.
 */
internal fun spendCeilingShape(
    meter: SpendMeter,
    freeTokens: Long,
    options: BudgetOptions,
): CeilingShape {
    val spendTokens = ceil(meter.ratePerMs * options.ceilingInitialSpanMs * options.ceilingSpendFactor).toLong()
    val reservationTokens = if (options.sizesByTypicalReservation) meter.typicalReservationTokens else meter.largestReservationTokens
    val unmeasuredTokens = (freeTokens.coerceAtLeast(0) * options.ceilingUnmeasuredShare * (1 - meter.measuredShare)).toLong()
    val growthShare = 1 - options.ceilingInitialSpanMs.toDouble() / options.outageGraceMs
    return CeilingShape(
        headroomTokens = spendTokens + (reservationTokens * options.ceilingReservations).toLong() + unmeasuredTokens,
        growthTokensPerMs = meter.ratePerMs * options.ceilingSpendFactor * growthShare,
    )
}

/**
 * Growth of a ceiling after the outage grace: the measured spend, or the pace at which [restTokens] of the grant above the ceiling are
 * released within [BudgetOptions.ceilingReleaseMs] if that is more. Null if the ceiling ends with the grace.
 */
internal fun lateCeilingGrowthTokensPerMs(
    meter: SpendMeter,
    restTokens: Long,
    options: BudgetOptions,
): Double? = options.ceilingReleaseMs?.let { maxOf(meter.ratePerMs * LATE_SPEND_FACTOR, restTokens.toDouble() / it) }

/**
 * Interval between the flushes of a router, so that all [routers] together flush no more often than [BudgetOptions.fleetFlushesPerSecond].
 * A ceiling must be written several times in an outage grace.
 */
internal fun flushIntervalMs(
    routers: Int,
    options: BudgetOptions,
): Long {
    val sharedMs = options.fleetFlushesPerSecond?.let { ceil(routers * 1_000.0 / it).toLong() } ?: 0
    return maxOf(options.flushIntervalMs, minOf(sharedMs, options.outageGraceMs / MIN_FLUSHES_PER_GRACE))
}

/** Size of a reservation: the worst case while tokens are plentiful, otherwise a first step of about twice the average use. */
internal fun reservationTokens(
    usableTokens: Long,
    minimumTokens: Long,
    maximumTokens: Long,
    usageRatio: Double,
): Long {
    if (usableTokens >= maximumTokens * PLENTIFUL_FACTOR) return maximumTokens
    val stepTokens = minimumTokens + ceil((maximumTokens - minimumTokens) * minOf(1.0, usageRatio * STEP_FACTOR)).toLong()
    return minOf(usableTokens, stepTokens, maximumTokens)
}

private const val OUTAGE_FACTOR = 1.5

/** Lets the spend rise during a long outage, for which grants are sized with [OUTAGE_FACTOR]. */
private const val LATE_SPEND_FACTOR = 1.5
private const val UNMET_DEMAND_FACTOR = 4L
private const val EXCESS_FACTOR = 2
private const val EQUAL_SHARE_EXCESS_FACTOR = 4
private const val MIN_FLUSHES_PER_GRACE = 3
private const val LOW_WATER_SHARE = 0.7
private const val PLENTIFUL_FACTOR = 16L
private const val STEP_FACTOR = 2.0

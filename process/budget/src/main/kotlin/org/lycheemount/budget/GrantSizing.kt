package org.lycheemount.budget

import kotlin.math.ceil

/**
 * What a router needs of one budget.
 *
 * @property freeTokens tokens of its grant that nothing uses.
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

/** Tokens that a router wants to hold free, to outlast an outage of the expected length. */
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

/** Tokens that a router wants to hold free while [unallocatedTokens] of the budget are left. */
internal fun targetFreeTokens(
    demand: GrantDemand,
    unallocatedTokens: Long,
    options: BudgetOptions,
): Long {
    val targetTokens = demandTargetTokens(demand, options)
    return if (options.holdsEqualShare) maxOf(targetTokens, unallocatedTokens / (demand.routers + 1)) else targetTokens
}

/**
 * Tokens to take from [unallocatedTokens] now; 0 above the low-water mark. Each router takes at most its share of what is left, or
 * [BudgetOptions.demandShare] of it for a spend that it has measured, so that grants shrink towards the end of the budget and no
 * router takes the rest of it ahead of need.
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
 * Ceiling above the present use: covers the spend until a router without contact may ignore it, less what
 * [ceilingGrowthTokensPerMs] adds until then, with some reservations to spare. The present use counts open reservations already.
 */
internal fun ceilingHeadroomTokens(
    meter: SpendMeter,
    options: BudgetOptions,
): Long {
    val spendTokens = ceil(meter.ratePerMs * options.ceilingInitialSpanMs * options.ceilingSpendFactor).toLong()
    val reservationTokens = if (options.sizesByTypicalReservation) meter.typicalReservationTokens else meter.largestReservationTokens
    return spendTokens + (reservationTokens * options.ceilingReservations).toLong()
}

/**
 * Growth of a ceiling with the time since the contact. A router that is restarted soon after the contact finds that its predecessor
 * may have spent little, and one that lost the table for longer is not held back by a ceiling for a moment.
 */
internal fun ceilingGrowthTokensPerMs(
    meter: SpendMeter,
    options: BudgetOptions,
): Double = meter.ratePerMs * options.ceilingSpendFactor * (1 - options.ceilingInitialSpanMs.toDouble() / options.outageGraceMs)

/** Size of a reservation: the worst case while tokens are plentiful, otherwise a first step of about twice the usual use. */
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
private const val UNMET_DEMAND_FACTOR = 4L
private const val LOW_WATER_SHARE = 0.7
private const val PLENTIFUL_FACTOR = 16L
private const val STEP_FACTOR = 2.0

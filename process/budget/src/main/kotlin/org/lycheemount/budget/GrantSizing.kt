package org.lycheemount.budget

import kotlin.math.ceil

/**
 * What a router needs of one budget.
 *
 * @property freeTokens tokens of its grant that nothing uses.
 * @property wantedTokens tokens that a refused request needs; 0 for none.
 * @property routers number of routers that may draw on the budget.
 */
internal data class GrantDemand(
    val freeTokens: Long,
    val ratePerMs: Double,
    val largestReservation: Long,
    val wantedTokens: Long,
    val routers: Int,
)

/** Tokens that a router wants to hold free, to outlast an outage of the expected length. */
internal fun targetFreeTokens(
    demand: GrantDemand,
    options: BudgetOptions,
): Long {
    val outage = ceil(demand.ratePerMs * options.expectedOutageMs * OUTAGE_FACTOR).toLong()
    return maxOf(outage, (demand.largestReservation * options.reservationsHeld).toLong(), demand.wantedTokens * WANTED_FACTOR)
}

/** Tokens that a router wants to hold free while [unallocatedTokens] of the budget are left. */
internal fun heldTokens(
    demand: GrantDemand,
    unallocatedTokens: Long,
    options: BudgetOptions,
): Long {
    val target = targetFreeTokens(demand, options)
    return if (options.holdsEqualShare) maxOf(target, unallocatedTokens / (demand.routers + 1)) else target
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
    val target = heldTokens(demand, unallocatedTokens, options)
    val lacking = target - demand.freeTokens
    val urgent = (demand.wantedTokens - demand.freeTokens).coerceAtLeast(0)
    if (urgent == 0L && demand.freeTokens >= target * LOW_WATER_SHARE) return 0
    val share = unallocatedTokens / (demand.routers + 1)
    val equal = minOf(lacking, share - (demand.freeTokens - share).coerceAtLeast(0))
    val measured = targetFreeTokens(demand, options) - demand.freeTokens
    val planned = maxOf(equal, minOf(measured, (unallocatedTokens * options.demandShare).toLong()), 0)
    if (urgent == 0L && planned < demand.largestReservation) return 0
    return minOf(maxOf(planned, urgent), unallocatedTokens)
}

/**
 * Ceiling above the present use: covers the spend until a router without contact may ignore it, less what
 * [ceilingGrowthTokensPerMs] adds until then, with some reservations to spare. The present use counts open reservations already.
 */
internal fun ceilingHeadroomTokens(
    meter: SpendMeter,
    options: BudgetOptions,
): Long {
    val spend = ceil(meter.ratePerMs * options.ceilingLeadMs * options.ceilingSpendFactor).toLong()
    val reservation = if (options.sizesByTypicalReservation) meter.typicalReservation else meter.largestReservation
    return spend + (reservation * options.ceilingReservations).toLong()
}

/**
 * Growth of a ceiling with the time since the contact. A router that is restarted soon after the contact finds that its predecessor
 * may have spent little, and one that lost the table for longer is not held back by a ceiling for a moment.
 */
internal fun ceilingGrowthTokensPerMs(
    meter: SpendMeter,
    options: BudgetOptions,
): Double = meter.ratePerMs * options.ceilingSpendFactor * (1 - options.ceilingLeadMs.toDouble() / options.outageGraceMs)

/** Size of a reservation: the worst case while tokens are plentiful, otherwise a first step of about twice the usual use. */
internal fun reservationTokens(
    usableTokens: Long,
    minimumTokens: Long,
    maximumTokens: Long,
    useShare: Double,
): Long {
    if (usableTokens >= maximumTokens * PLENTIFUL_FACTOR) return maximumTokens
    val step = minimumTokens + ceil((maximumTokens - minimumTokens) * minOf(1.0, useShare * STEP_FACTOR)).toLong()
    return minOf(usableTokens, step, maximumTokens)
}

private const val OUTAGE_FACTOR = 1.5
private const val WANTED_FACTOR = 4L
private const val LOW_WATER_SHARE = 0.7
private const val PLENTIFUL_FACTOR = 16L
private const val STEP_FACTOR = 2.0

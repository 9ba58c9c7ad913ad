package org.lycheemount.budget

/**
 * A router that is asked for tokens.
 *
 * @property lackingTokens tokens that a waiting request of its own lacks; 0 for none.
 * @property yieldsTies order between two routers that lack the same.
 */
internal data class DonorState(
    val usableTokens: Long,
    val ratePerMs: Double,
    val lackingTokens: Long,
    val yieldsTies: Boolean,
)

/**
 * Tokens to hand to a peer. What a waiting request lacks goes before the donor's own future requests, since refusing a request
 * that waits is certain harm. Beyond that the donor shares what it will not need soon.
 */
internal fun donationTokens(
    donor: DonorState,
    needed: TokenMessage.Needed,
    options: BudgetOptions,
): Long {
    val ownNeed = donor.lackingTokens
    if (ownNeed > 0 && (ownNeed < needed.lackingTokens || (ownNeed == needed.lackingTokens && !donor.yieldsTies))) return 0
    val urgent = minOf(needed.lackingTokens, donor.usableTokens)
    val keep = (donor.ratePerMs * options.expectedOutageMs / KEPT_OUTAGE_PARTS).toLong()
    val spare = ((donor.usableTokens - urgent - keep) / 2).coerceAtLeast(0)
    return urgent + minOf(spare, needed.plannedTokens)
}

/** Tokens to ask of peers during an outage of the table before the own ones run out; 0 while they last. */
internal fun plannedTransferTokens(
    meter: SpendMeter,
    usableTokens: Long,
    options: BudgetOptions,
): Long {
    val low = (meter.ratePerMs * options.expectedOutageMs / LOW_OUTAGE_PARTS).toLong()
    return if (usableTokens < low) low * 2 - usableTokens else 0
}

private const val LOW_OUTAGE_PARTS = 12
private const val KEPT_OUTAGE_PARTS = 6

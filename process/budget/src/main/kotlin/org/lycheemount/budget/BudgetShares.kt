package org.lycheemount.budget

/**
 * Where the tokens of a budget are. The limit is the sum of all other properties and of the tokens that [openGrants] hold.
 *
 * @property billedTokens tokens of written bills.
 * @property unbilledTokens tokens charged to grants of ended processes without a bill.
 * @property setAsideTokens tokens that routers may still claim after the store has come back from an older copy.
 * @property inTransferTokens tokens recorded as sent and not as received. Negative if the receiver's row is newer than the sender's, and
 *   for good if the sender ended before it recorded the transfer: its charge then includes tokens that the receiver holds.
 */
internal data class BudgetShares(
    val limitTokens: Long,
    val unallocatedTokens: Long,
    val billedTokens: Long,
    val unbilledTokens: Long,
    val inTransferTokens: Long,
    val openGrants: List<GrantRow>,
    val setAsideTokens: Long = 0,
) {
    /** Tokens that some router may still use: those that are unallocated, set aside, held, or on their way to a router. */
    val remainingTokens: Long get() =
        unallocatedTokens + setAsideTokens + openGrants.sumOf { it.heldTokens } +
            inTransferTokens.coerceAtLeast(0)
}

/** Shares of a budget with the row [budget] and all of its [grants], open and closed. */
internal fun budgetShares(
    budget: BudgetRow,
    grants: List<GrantRow>,
): BudgetShares {
    val (closed, open) = grants.partition { it.closed }
    val unbilledTokens = closed.sumOf { it.unbilledTokens }
    return BudgetShares(
        limitTokens = budget.limitTokens,
        unallocatedTokens = budget.unallocatedTokens,
        billedTokens = budget.closedTokens - unbilledTokens - budget.setAsideTokens + open.sumOf { it.settledTokens },
        unbilledTokens = unbilledTokens,
        inTransferTokens = budget.transferTokens + open.sumOf { it.sentTokens - it.receivedTokens },
        openGrants = open,
        setAsideTokens = budget.setAsideTokens,
    )
}

package org.lycheemount.budget

import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.TableTransaction

/**
 * Key of the row that shows that [era] has ended. Versions are given out again in a later era, so a transaction also checks that this row
 * is absent: one that arrives late cannot match rows of a later era.
 */
internal fun endedEraKey(era: Long) = "$ENDED_ERA_PREFIX$era"

/** This transaction with a check that [era], in which its other conditions were read, has not ended. */
internal fun TableTransaction.checkedInEra(era: StoreEra?): TableTransaction =
    if (era == null) this else copy(checks = checks + RowCheck(endedEraKey(era.value), 0))

/** Sets aside the tokens that this row, restored from a copy, shows as unallocated: other routers may have taken them since the copy. */
internal fun BudgetRow.openedIn(era: Long): BudgetRow {
    if (this.era == era) return this
    return copy(era = era, settled = false).setAside(unallocatedTokens.coerceAtLeast(0))
}

/** Sets aside [tokens] of the unallocated ones. */
internal fun BudgetRow.setAside(tokens: Long): BudgetRow =
    copy(
        unallocatedTokens = unallocatedTokens - tokens,
        setAsideTokens = setAsideTokens + tokens,
        closedTokens = closedTokens + tokens,
        unbilledTokens = unbilledTokens + tokens,
    )

/** Makes the tokens that nobody has claimed available again. */
internal fun BudgetRow.settledWithUnclaimed(): BudgetRow =
    copy(
        settled = true,
        unallocatedTokens = unallocatedTokens + setAsideTokens,
        setAsideTokens = 0,
        closedTokens = closedTokens - setAsideTokens,
        unbilledTokens = unbilledTokens - setAsideTokens,
    )

/** Part of the [wantedTokens] of a claim that the tokens set aside do not cover. */
internal fun BudgetRow.uncoveredTokens(wantedTokens: Long): Long = (wantedTokens - setAsideTokens.coerceAtLeast(0)).coerceAtLeast(0)

/**
 * Replaces the restored row [found] of a grant, null if it is absent, by the row [held] that its holder knows. Tokens come from those set
 * aside, and beyond them from the unallocated ones, which become negative if the holder has used more than there are.
 */
internal fun BudgetRow.replaceGrant(
    found: GrantRow?,
    held: GrantRow,
): BudgetRow {
    val tokens = held.allocatedTokens - (found?.allocatedTokens ?: 0)
    val fromSetAside = if (settled && tokens < 0) 0 else minOf(tokens, setAsideTokens)
    val chargedTokens = held.chargedIfClosed - (found?.chargedIfClosed ?: 0)
    val settledTokens = held.settledIfClosed - (found?.settledIfClosed ?: 0)
    val openTokens = held.grantedIfOpen - (found?.grantedIfOpen ?: 0)
    return copy(
        unallocatedTokens = unallocatedTokens - (tokens - fromSetAside),
        setAsideTokens = setAsideTokens - fromSetAside,
        closedTokens = closedTokens - fromSetAside + chargedTokens,
        unbilledTokens = unbilledTokens - fromSetAside + chargedTokens - settledTokens,
        transferTokens = transferTokens + tokens - chargedTokens - openTokens,
    )
}

private val GrantRow.chargedIfClosed: Long get() = if (closed) chargedTokens else 0
private val GrantRow.settledIfClosed: Long get() = if (closed) settledTokens else 0
private val GrantRow.grantedIfOpen: Long get() = if (closed) 0 else grantedTokens

/** Last known row of the budget of [account], unless it was restored from a copy and not opened since. */
internal fun TableSession.currentBudget(account: BudgetAccount): BudgetRow? =
    account.budgetRow?.takeIf { isCurrent(it.era) }?.copy(era = eraNumber)

private const val ENDED_ERA_PREFIX = "era-ended/"

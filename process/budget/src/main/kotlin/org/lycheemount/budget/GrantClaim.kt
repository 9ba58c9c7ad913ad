package org.lycheemount.budget

import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction

/**
 * Builds the transaction that claims the grants of [account] in [era], from the restored rows in [snapshot]. The caller holds the monitor
 * of [account] during [plan].
 */
internal class GrantClaim(
    private val account: BudgetAccount,
    private val snapshot: TableSnapshot,
    private val transactionId: String,
    private val era: Long,
    private val writer: TableWriter,
    private val clock: Clock,
    private val log: EventLog,
) {
    private val budgetKey = budgetKey(account.budgetId)
    private val foundBudget = snapshot.find(budgetKey)
    private val openedBudget = (foundBudget?.let { decodeRow<BudgetRow>(it.value) } ?: BudgetRow(0, 0)).openedIn(era)
    private var budget = openedBudget
    private val rows = mutableListOf<GrantRow>()
    private val proposed = mutableListOf<Grant>()
    private var reducedTokens = 0L

    /**
     * Claims [grants] and writes [lostClosings] again; with [isLast], nothing of the account is left to be claimed. Returns null if no row
     * can be proposed yet.
     */
    fun plan(
        grants: List<Grant>,
        lostClosings: List<BudgetAccount.Closing>,
        isLast: Boolean,
    ): WriteAttempt? {
        account.closing = false
        for (closing in lostClosings) replace(closing.row.copy(era = era))
        for (grant in grants) replace(heldRow(grant) ?: return cancel())
        val checks = rows.map { RowCheck(keyOf(it), versionOf(keyOf(it))) }
        val writes = rows.map { writeRow(keyOf(it), it) }
        // Without a change of the totals, the row of the budget is left alone: all routers claim at the same time.
        val isBudgetChanged = budget != openedBudget
        val budgetChecks = if (isBudgetChanged) listOf(RowCheck(budgetKey, foundBudget?.version ?: 0)) else emptyList()
        val budgetWrites = if (isBudgetChanged) listOf(writeRow(budgetKey, budget)) else emptyList()
        return WriteAttempt(
            TableTransaction(transactionId, budgetChecks + checks, budgetWrites + writes),
            grants = emptyList(),
            onCommitted = { versions ->
                synchronized(account) {
                    for (closing in lostClosings) closing.writtenEra = era
                    if (isLast) account.claimedEra = era
                    onCommitted(grants, versions)
                }
            },
            onFailed = { cancel() },
        )
    }

    private fun replace(held: GrantRow) {
        budget = budget.replaceGrant(rowOf(held.grantId), held)
        rows += held
    }

    /** Row to write for [grant]: with fewer unused tokens than it holds if the budget does not have them any more. */
    private fun heldRow(grant: Grant): GrantRow? {
        val restored = rowOf(grant.grantId)
        val last = checkNotNull(grant.row)
        val isUnchanged = restored != null && restored.holderTransactionId == last.holderTransactionId
        // Others may have settled bills of the grant, or closed it, since its holder wrote the row.
        if (restored != null && isUnchanged) grant.adopt(restored, versionOf(keyOf(restored)))
        val base = checkNotNull(grant.row)
        if (base.closed) return base.copy(era = era)
        val uncovered = budget.uncoveredTokens(base.allocatedTokens - (restored?.allocatedTokens ?: 0))
        val reduced = minOf(uncovered, grant.freeTokens, base.grantedTokens).coerceAtLeast(0)
        reducedTokens += reduced
        val write = writer.proposeRow(account, grant, transactionId, grantedDeltaTokens = -reduced) ?: return null
        proposed += grant
        return write.row
    }

    private fun onCommitted(
        grants: List<Grant>,
        versions: Map<String, Long>,
    ) {
        val nowMs = clock.monotonicMs()
        for (grant in grants) {
            val key = grantKey(account.budgetId, grant.grantId)
            val version = versions.getValue(key)
            if (grant in proposed) grant.confirm(version, nowMs) else grant.adopt(rows.first { keyOf(it) == key }, version)
        }
        account.retireClosedGrant()
        account.wakeWaiters(nowMs)
        log.info(
            "grants_claimed",
            "budget" to account.budgetId.value,
            "era" to era,
            "grants" to rows.size,
            "tokens" to rows.sumOf { it.allocatedTokens - (rowOf(it.grantId)?.allocatedTokens ?: 0) },
            "reducedTokens" to reducedTokens,
            "setAsideTokens" to budget.setAsideTokens,
            "unallocatedTokens" to budget.unallocatedTokens,
        )
    }

    private fun cancel(): WriteAttempt? {
        synchronized(account) { for (grant in proposed) grant.clearPendingRow() }
        return null
    }

    private fun rowOf(grantId: String): GrantRow? = snapshot.find(grantKey(account.budgetId, grantId))?.let { decodeRow(it.value) }

    private fun keyOf(row: GrantRow) = grantKey(account.budgetId, row.grantId)

    private fun versionOf(key: String) = snapshot.find(key)?.version ?: 0
}

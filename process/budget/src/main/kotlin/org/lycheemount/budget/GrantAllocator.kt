package org.lycheemount.budget

import org.lycheemount.common.BudgetId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.VmId
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.TableTransaction
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/** Takes grants of tokens from budgets in the table, refills them and returns them. */
internal class GrantAllocator(
    private val writer: TableWriter,
    private val session: TableSession,
    private val clock: Clock,
    private val options: BudgetOptions,
    private val log: EventLog,
    private val random: Random,
    private val routerCount: () -> Int,
) {
    private val grantCount = AtomicLong()
    private val pacer = RefillPacer(random)

    /** Accounts whose refill ahead of need waits for the next turn. */
    private var postponedAccounts = emptyList<BudgetAccount>()

    /** Latest incarnation of the process on each VM, as far as grants of any budget show it. */
    private val lastIncarnations = HashMap<VmId, Long>()

    /** Options for sizing a refill by demand alone, in case the last read of the unallocated tokens is outdated. */
    private val demandOptions = options.copy(holdsEqualShare = false)

    /** Number of routers that may draw on a budget. */
    val routers: Int get() = routerCount()

    /** Creates a grant of this router without tokens and without a row in the table. */
    fun newGrant(budgetId: BudgetId): Grant =
        Grant(budgetId, "${writer.self.routerId.value}-${writer.self.incarnation}-${grantCount.getAndIncrement()}")

    /**
     * Refills the grant of [account] for waiting requests, in a transaction of its own, so that a conflict on another budget does not
     * delay them. Returns false when the table did not respond.
     */
    suspend fun refillWaiting(account: BudgetAccount): Boolean {
        val batch = listOf(account).filter(::needsRefill)
        if (!rereadBudgets(batch.filterNot(::canRefill)) || !readOldBudgets(batch.filter(::canRefill))) return false
        repeat(MAX_COMMIT_ATTEMPTS) {
            when (tryRefill(batch)) {
                null, WriteAttemptResult.COMMITTED -> return true
                WriteAttemptResult.NO_RESPONSE -> return false
                WriteAttemptResult.CONFLICT -> Unit
            }
        }
        return true
    }

    /**
     * Refills the grants of [accounts] that are below their low-water mark, ahead of need. A router that has just started refills many
     * budgets in one transaction. After a conflict, the rest is left for a later turn, since routers that try again at once keep each
     * other from committing. Returns false when the table did not respond.
     */
    suspend fun refillAhead(accounts: List<BudgetAccount>): Boolean {
        val needing = (accounts + postponedAccounts).distinct().filter(::needsRefill)
        if (!rereadBudgets(needing.filterNot(::canRefill))) return false
        postponedAccounts = needing.filter(::canRefill).shuffled(random)
        while (postponedAccounts.isNotEmpty() && pacer.isDue(clock.monotonicMs())) {
            val batch = postponedAccounts.take(options.rowsPerTransaction)
            if (!readOldBudgets(batch)) return false
            val result = tryRefill(batch)
            if (result == WriteAttemptResult.NO_RESPONSE) return false
            if (result != null) pacer.record(result, clock.monotonicMs(), routers)
            if (result != WriteAttemptResult.CONFLICT) postponedAccounts = postponedAccounts.drop(batch.size)
        }
        return true
    }

    /** Time until the turn of refills ahead of need that were postponed; null if there are none. */
    val untilPostponedRefillMs: Long? get() = if (postponedAccounts.isEmpty()) null else pacer.untilDueMs(clock.monotonicMs())

    /** Refills [batch] in one transaction from the last known rows. Returns null if there is nothing to take. */
    private suspend fun tryRefill(batch: List<BudgetAccount>): WriteAttemptResult? {
        val transactionId = session.nextTransactionId()
        val planned = batch.filter(::canRefill).mapNotNull { planRefill(it, transactionId) }
        return if (planned.isEmpty()) null else writer.run(combineAttempts(transactionId, planned))
    }

    /**
     * Reads the budget and all of its grants, so that refusals can distinguish an exhausted budget from tokens held by other routers.
     * Returns false when the table did not respond.
     */
    suspend fun readBalance(account: BudgetAccount): Boolean {
        val grants = session.scanAll(grantPrefix(account.budgetId)) ?: return false
        if (!readBudgets(listOf(account))) return false
        synchronized(account) {
            val budget = account.budgetRow ?: ABSENT_BUDGET
            val shares = budgetShares(budget, grants.map { decodeRow<GrantRow>(it.value) })
            account.balance = BudgetBalance(shares.remainingTokens, clock.monotonicMs())
            logBalance(account, shares)
        }
        return true
    }

    /** Logs where the tokens of a budget are while a request of this router lacks some. */
    private fun logBalance(
        account: BudgetAccount,
        shares: BudgetShares,
    ) {
        val open = shares.openGrants
        for (grant in open) lastIncarnations.merge(grant.holder.vmId, grant.holder.incarnation, ::maxOf)
        val (ended, current) = open.partition { it.holder.incarnation < lastIncarnations.getValue(it.holder.vmId) }
        val (own, others) = current.partition { it.holder == writer.self }
        log.info(
            "budget_balance",
            "budget" to account.budgetId.value,
            "neededTokens" to account.unmetDemandTokens,
            "limitTokens" to shares.limitTokens,
            "unallocatedTokens" to shares.unallocatedTokens,
            "chargedTokens" to shares.billedTokens,
            "unbilledTokens" to shares.unbilledTokens,
            "setAsideTokens" to shares.setAsideTokens,
            "inTransferTokens" to shares.inTransferTokens,
            "heldHereTokens" to own.sumOf { it.heldTokens },
            "heldByOthersTokens" to others.sumOf { it.heldTokens },
            "heldByEndedTokens" to ended.sumOf { it.heldTokens },
        )
    }

    /**
     * Gives free tokens back to their budgets: for each account the number that [tokens] returns, which is called again with the latest
     * row. Keeps to the pace of refills ahead of need.
     */
    suspend fun returnTokens(
        accounts: List<BudgetAccount>,
        tokens: (BudgetAccount) -> Long,
    ) {
        for (batch in accounts.chunked(options.rowsPerTransaction)) {
            if (!pacer.isDue(clock.monotonicMs()) || !readOldBudgets(batch)) return
            val transactionId = session.nextTransactionId()
            val attempts = batch.mapNotNull { account -> synchronized(account) { planReturn(account, transactionId, tokens) } }
            if (attempts.isEmpty()) continue
            val result = writer.run(combineAttempts(transactionId, attempts))
            if (result == WriteAttemptResult.NO_RESPONSE) return
            pacer.record(result, clock.monotonicMs(), routers)
        }
    }

    /** Returns the grants of [accounts] that are no longer in use. Grants that cannot be closed now are left for a later pass. */
    suspend fun closeGrants(accounts: List<BudgetAccount>) {
        if (!resolvePendingCloses(accounts.filter { it.closing })) return
        val open = accounts.filterNot { account -> synchronized(account) { account.closing || dropUnusedGrant(account) } }
        if (!readBudgets(open.filter { it.budgetRow == null })) return
        for (batch in open.chunked(options.rowsPerTransaction)) {
            val transactionId = session.nextTransactionId()
            val attempts = batch.mapNotNull { account -> synchronized(account) { planClose(account, transactionId) } }
            if (attempts.isNotEmpty() && writer.run(combineAttempts(transactionId, attempts)) == WriteAttemptResult.NO_RESPONSE) return
        }
    }

    /** Drops a grant that has neither a row nor tokens because its first transaction did not commit. */
    private fun dropUnusedGrant(account: BudgetAccount): Boolean {
        val grant = account.grant ?: return true
        if (grant.row != null || grant.hasPendingRow || grant.receivedTokens > 0 || grant.inUse) return false
        account.grant = null
        return true
    }

    /** Only the holder deletes a grant row, so a missing row shows that a close whose response was lost has committed. */
    private suspend fun resolvePendingCloses(accounts: List<BudgetAccount>): Boolean {
        val grants = accounts.mapNotNull { account -> synchronized(account) { account.grant }?.let { account to it } }
        if (grants.isEmpty()) return true
        val snapshot = session.read(grants.map { (account, grant) -> grantKey(account.budgetId, grant.grantId) }) ?: return false
        for ((account, grant) in grants) {
            synchronized(account) {
                val row = snapshot.find(grantKey(account.budgetId, grant.grantId))
                account.closing = false
                if (row == null) {
                    grant.returnedRow()?.let { account.recordClosing(it, account.closingTransactionId, clock.monotonicMs()) }
                    account.grant = null
                } else {
                    grant.adopt(decodeRow(row.value), row.version)
                }
                account.retireClosedGrant()
            }
        }
        return true
    }

    /** Whether [account] lacks tokens, even if its budget had none to give when its row was last read. */
    private fun needsRefill(account: BudgetAccount): Boolean =
        canRefill(account) ||
            synchronized(account) { isRefillable(account) && refillTokens(account.demand(routers), UNLIMITED_TOKENS, demandOptions) > 0 }

    private fun canRefill(account: BudgetAccount): Boolean =
        synchronized(account) {
            val unallocatedTokens = account.budgetRow?.unallocatedTokens ?: UNLIMITED_TOKENS
            isRefillable(account) && refillTokens(account.demand(routers), unallocatedTokens, options) > 0
        }

    private fun isRefillable(account: BudgetAccount): Boolean = !account.closing && account.grant?.hasPendingRow != true

    /** Reads the rows of [accounts] that have probably been changed by other routers since they were last read. */
    private suspend fun readOldBudgets(accounts: List<BudgetAccount>): Boolean {
        val oldBeforeMs = clock.monotonicMs() - MAX_ROW_AGE_MS
        return readBudgets(accounts.filter { it.budgetRow == null || it.budgetReadAtMs < oldBeforeMs })
    }

    /** Reads budgets again, at a bounded rate, to pick up top-ups and returns while the last known tokens do not suffice. */
    private suspend fun rereadBudgets(accounts: List<BudgetAccount>): Boolean {
        val nowMs = clock.monotonicMs()
        return readBudgets(
            accounts.filter { account ->
                val intervalMs = synchronized(account) { if (account.unmetDemandTokens > 0) UNMET_DEMAND_REREAD_MS else REREAD_MS }
                nowMs - account.budgetReadAtMs >= intervalMs
            },
        )
    }

    private suspend fun readBudgets(accounts: List<BudgetAccount>): Boolean {
        for (batch in accounts.chunked(options.rowsPerTransaction)) if (!readBatch(batch)) return false
        return true
    }

    private suspend fun readBatch(accounts: List<BudgetAccount>): Boolean {
        val snapshot = session.readEach(accounts.map { budgetKey(it.budgetId) }) ?: return false
        for (account in accounts) {
            val row = snapshot.find(budgetKey(account.budgetId))
            synchronized(account) {
                account.budgetRow = row?.let { decodeRow<BudgetRow>(it.value) } ?: ABSENT_BUDGET
                account.budgetVersion = row?.version ?: 0
                account.budgetReadAtMs = clock.monotonicMs()
            }
        }
        return true
    }

    private fun planRefill(
        account: BudgetAccount,
        transactionId: String,
    ): WriteAttempt? =
        synchronized(account) {
            account.retireClosedGrant()
            val budget = session.currentBudget(account) ?: return null
            val tokens = refillTokens(account.demand(routers), budget.unallocatedTokens, options)
            if (tokens <= 0) return null
            val grant = account.grant ?: newGrant(account.budgetId).also { account.grant = it }
            val write = writer.proposeRow(account, grant, transactionId, grantedDeltaTokens = tokens) ?: return null
            val changed = budget.copy(unallocatedTokens = budget.unallocatedTokens - tokens)
            budgetAttempt(write, transactionId, changed) {
                account.lastRefillAtMs = clock.monotonicMs()
                log.info("grant_refilled", "budget" to account.budgetId.value, "grant" to grant.grantId, "tokens" to tokens)
            }
        }

    private fun planReturn(
        account: BudgetAccount,
        transactionId: String,
        amount: (BudgetAccount) -> Long,
    ): WriteAttempt? {
        val grant = account.grant ?: return null
        val budget = session.currentBudget(account) ?: return null
        val row = grant.row ?: return null
        if (grant.closed || grant.hasPendingRow || account.closing) return null
        val tokens = minOf(amount(account), grant.freeTokens, row.grantedTokens)
        if (tokens <= 0) return null
        val write = writer.proposeRow(account, grant, transactionId, grantedDeltaTokens = -tokens) ?: return null
        val changed = budget.copy(unallocatedTokens = budget.unallocatedTokens + tokens)
        return budgetAttempt(write, transactionId, changed) {
            log.info("grant_reduced", "budget" to account.budgetId.value, "grant" to grant.grantId, "tokens" to tokens)
        }
    }

    private fun planClose(
        account: BudgetAccount,
        transactionId: String,
    ): WriteAttempt? {
        val grant = account.grant ?: return null
        val budget = session.currentBudget(account) ?: return null
        val row = grant.row ?: return null
        val isInUse = grant.inUse || account.unackedTransfers > 0
        if (grant.closed || grant.hasPendingRow || account.closing || isInUse) return null
        check(row.settledTokens == grant.spentTokens) {
            "grant ${grant.grantId} has written bills for ${row.settledTokens} of ${grant.spentTokens} spent tokens"
        }
        account.closing = true
        account.closingTransactionId = transactionId
        val changed =
            budget.copy(
                unallocatedTokens = budget.unallocatedTokens + grant.freeTokens,
                closedTokens = budget.closedTokens + grant.spentTokens,
                transferTokens = budget.transferTokens + grant.sentTokens - grant.receivedTokens,
            )
        val key = grantKey(account.budgetId, grant.grantId)
        return WriteAttempt(
            transaction =
                TableTransaction(
                    transactionId,
                    listOf(RowCheck(budgetKey(account.budgetId), account.budgetVersion), RowCheck(key, grant.rowVersion)),
                    listOf(writeRow(budgetKey(account.budgetId), changed), RowWrite(key, null)),
                ),
            grants = emptyList(),
            onCommitted = { versions -> applyClose(account, grant, transactionId, changed, versions) },
            onFailed = { current ->
                synchronized(account) {
                    adoptBudgetRow(account, current.orEmpty())
                    account.closing = current != null
                }
            },
        )
    }

    private fun applyClose(
        account: BudgetAccount,
        grant: Grant,
        transactionId: String,
        changed: BudgetRow,
        versions: Map<String, Long>,
    ) = synchronized(account) {
        account.closing = false
        grant.returnedRow()?.let { account.recordClosing(it, transactionId, clock.monotonicMs()) }
        account.grant = null
        recordBudgetRow(account, changed, versions[budgetKey(account.budgetId)])
        log.info("grant_returned", "budget" to account.budgetId.value, "grant" to grant.grantId, "spentTokens" to grant.spentTokens)
    }

    private fun budgetAttempt(
        write: GrantWrite,
        transactionId: String,
        changed: BudgetRow,
        onCommitted: () -> Unit,
    ): WriteAttempt {
        val account = write.account
        val key = budgetKey(account.budgetId)
        val checks = listOf(RowCheck(key, account.budgetVersion), RowCheck(write.key, write.grant.rowVersion))
        return WriteAttempt(
            transaction = TableTransaction(transactionId, checks, listOf(writeRow(key, changed), writeRow(write.key, write.row))),
            grants = listOf(write),
            onCommitted = { versions ->
                synchronized(account) { recordBudgetRow(account, changed, versions[key]) }
                onCommitted()
            },
            onFailed = { current -> synchronized(account) { adoptBudgetRow(account, current.orEmpty()) } },
        )
    }

    private fun recordBudgetRow(
        account: BudgetAccount,
        row: BudgetRow,
        version: Long?,
    ) {
        if (version != null) account.budgetReadAtMs = clock.monotonicMs()
        account.budgetRow = row.takeIf { version != null }
        account.budgetVersion = version ?: 0
    }

    private fun adoptBudgetRow(
        account: BudgetAccount,
        current: Map<String, CurrentRow>,
    ) {
        val row = current[budgetKey(account.budgetId)] ?: return
        account.budgetRow = decodeRow(row.value)
        account.budgetVersion = row.version
        account.budgetReadAtMs = clock.monotonicMs()
    }

    private companion object {
        private const val MAX_COMMIT_ATTEMPTS = 4

        /** Age from which a row is read again, since a failed transaction costs more than a read. */
        private const val MAX_ROW_AGE_MS = 20L
        private const val UNLIMITED_TOKENS = Long.MAX_VALUE / 2
        private const val UNMET_DEMAND_REREAD_MS = 500L
        private const val REREAD_MS = 5_000L
        private val ABSENT_BUDGET = BudgetRow(0, 0)
    }
}

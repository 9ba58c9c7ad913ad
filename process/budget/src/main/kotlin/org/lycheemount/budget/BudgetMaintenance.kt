package org.lycheemount.budget

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.BudgetId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog

/** Background work of the ledger: refills, flushes, transfers and returns. Runs from [start] to [drain] in the given scope. */
class BudgetMaintenance internal constructor(
    private val parts: BudgetParts,
    private val tableWork: TableWork,
    private val clock: Clock,
    private val options: BudgetOptions,
    private val log: EventLog,
    private val hasPeers: () -> Boolean,
) : BudgetReplenisher {
    private var job: Job? = null

    /** Starts the background work in [scope]. */
    fun start(scope: CoroutineScope) {
        check(job == null) { "background work is running" }
        job =
            scope.launch {
                launch { tableLoop() }
                launch { replicationLoop() }
                launch { transferLoop() }
                launch { askLoop() }
            }
    }

    /**
     * Writes all bills, returns all grants and stops the background work. The caller has settled or released all requests before.
     * Gives up after [BudgetOptions.drainTimeoutMs]; false when bills or grants were left. A peer then writes the bills.
     */
    suspend fun drain(): Boolean {
        val running = checkNotNull(job) { "background work is not running" }
        parts.transfers.draining = true
        tableWork.draining = true
        parts.signals.work()
        val done = withTimeoutOrNull(options.drainTimeoutMs) { tableWork.drained.await() } != null
        running.cancelAndJoin()
        log.info("budgets_drained", "complete" to done, "unwrittenBills" to parts.bills.size())
        return done
    }

    override suspend fun awaitTokens(
        budgetId: BudgetId,
        tokens: Long,
        timeoutMs: Long,
    ): Boolean {
        val account = parts.accounts.getOrCreate(budgetId)
        val waiter = BudgetAccount.Waiter(tokens, CompletableDeferred())
        synchronized(account) {
            val nowMs = clock.monotonicMs()
            if (account.usableTokens(nowMs) >= tokens) return true
            if (account.knownExhausted(tokens, nowMs)) return false
            account.want(tokens, nowMs)
            account.waiters += waiter
        }
        parts.signals.work()
        parts.signals.ask()
        // Nobody can bring tokens in time, so the caller had better try another router at once.
        if (tableWork.inOutage && !hasPeers()) return false
        val granted = withTimeoutOrNull(timeoutMs) { waiter.granted.await() } ?: false
        synchronized(account) { account.waiters -= waiter }
        return granted
    }

    override fun prepare(budgetIds: Set<BudgetId>) {
        for (budgetId in budgetIds) {
            val account = parts.accounts.getOrCreate(budgetId)
            synchronized(account) {
                if (account.grant == null) account.meter.recordReservation(FIRST_RESERVATION_TOKENS, clock.monotonicMs())
                account.needsAttention = true
            }
        }
        parts.signals.work()
    }

    /** Has the limits of [budgetIds] read anew after a change, before a request is refused for what was known of them. */
    fun onLimitsChanged(budgetIds: Set<BudgetId>) {
        for (budgetId in budgetIds) {
            val account = parts.accounts.getOrCreate(budgetId)
            synchronized(account) {
                account.knowledge = null
                account.budgetRow = null
                account.needsAttention = true
            }
        }
        parts.signals.work()
    }

    private suspend fun tableLoop() =
        coroutineScope {
            while (isActive) {
                tableWork.pass()
                parts.signals.awaitWork(if (tableWork.draining) DRAIN_PASS_MS else options.tickIntervalMs)
            }
        }

    private suspend fun replicationLoop() =
        coroutineScope {
            while (isActive) {
                if (!parts.replication.replicate()) parts.signals.awaitReplicate(REPLICATE_RETRY_MS)
            }
        }

    private suspend fun transferLoop() =
        coroutineScope {
            while (isActive) {
                parts.transfers.sendOpenTransfers(this)
                parts.signals.awaitTransfer(TRANSFER_RETRY_MS)
            }
        }

    private suspend fun askLoop() =
        coroutineScope {
            while (isActive) {
                val lacking = if (tableWork.draining) emptyList() else parts.accounts.all().filter { askPeers(it) }
                parts.signals.awaitAsk(if (lacking.isEmpty()) ASK_IDLE_MS else ASK_PASS_MS)
            }
        }

    /** Asks peers for what [account] lacks or will lack during an outage; true while it does. */
    private suspend fun askPeers(account: BudgetAccount): Boolean {
        val nowMs = clock.monotonicMs()
        val planned =
            synchronized(account) {
                val lacking = account.lackingTokens(nowMs)
                val ahead = if (tableWork.inOutage) plannedTransferTokens(account.meter, account.usableTokens(nowMs), options) else 0
                val fromTable = !tableWork.inOutage && (account.budgetRow?.unallocatedTokens ?: Long.MAX_VALUE) >= lacking
                val soon = fromTable && nowMs - account.wantedSinceMs < TABLE_FIRST_MS
                if (lacking == 0L && ahead == 0L) return false
                if (soon || nowMs < account.nextAskAtMs || account.knownExhausted(account.wantedTokens, nowMs)) return true
                ahead + lacking * PLANNED_FACTOR
            }
        val promised = parts.transfers.askPeers(account, planned)
        synchronized(account) { account.noteAsked(clock.monotonicMs(), promised > 0) }
        return true
    }

    private companion object {
        private const val DRAIN_PASS_MS = 50L
        private const val REPLICATE_RETRY_MS = 500L
        private const val TRANSFER_RETRY_MS = 1_000L
        private const val ASK_PASS_MS = 50L
        private const val ASK_IDLE_MS = 1_000L
        private const val FIRST_RESERVATION_TOKENS = 2_000L
        private const val PLANNED_FACTOR = 4L

        /** A refill from the table takes one or two round trips; peers are asked only when it takes longer. */
        private const val TABLE_FIRST_MS = 100L
    }
}

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
import org.lycheemount.platform.StoreEras

/** Background work of the ledger: refills, flushes, transfers, replication and returns. Runs from [start] to [drain]. */
class BudgetMaintenance internal constructor(
    private val components: BudgetComponents,
    private val tableMaintenance: TableMaintenance,
    private val clock: Clock,
    private val options: BudgetOptions,
    private val log: EventLog,
    private val eras: StoreEras,
    private val hasConnectedPeers: () -> Boolean,
) : BudgetReplenisher {
    private var job: Job? = null

    /** Starts the background work in [scope]. */
    fun start(scope: CoroutineScope) {
        check(job == null) { "background work is already running" }
        job =
            scope.launch {
                launch { tableLoop() }
                launch { eras.current.collect { components.signals.signalTableWork() } }
                launch { replicationLoop() }
                launch { transferLoop() }
                launch { peerRequestLoop() }
            }
    }

    /**
     * Writes all bills, returns all grants and stops the background work. All requests must be settled or released before.
     * Returns false when bills or grants are left after [BudgetOptions.drainTimeoutMs]; a peer then writes the replicated bills.
     */
    suspend fun drain(): Boolean {
        val activeJob = checkNotNull(job) { "background work is not running" }
        components.transfers.draining = true
        tableMaintenance.draining = true
        components.signals.signalTableWork()
        val isComplete = withTimeoutOrNull(options.drainTimeoutMs) { tableMaintenance.drained.await() } != null
        activeJob.cancelAndJoin()
        log.info("budgets_drained", "complete" to isComplete, "unwrittenBills" to components.bills.size())
        return isComplete
    }

    override suspend fun awaitTokens(
        budgetId: BudgetId,
        tokens: Long,
        timeoutMs: Long,
    ): Boolean {
        val account = components.accounts.getOrCreate(budgetId)
        val waiter = BudgetAccount.Waiter(tokens, CompletableDeferred())
        synchronized(account) {
            val nowMs = clock.monotonicMs()
            if (account.usableTokens(nowMs) >= tokens) return true
            if (account.isKnownExhausted(tokens, nowMs)) return false
            account.recordUnmetDemand(tokens, nowMs)
            account.waiters += waiter
        }
        components.signals.signalTableWork()
        components.signals.signalPeerRequest()
        // Neither the table nor a peer can supply tokens, so the caller should try another router at once.
        if (tableMaintenance.inOutage && !hasConnectedPeers()) return false
        val granted = withTimeoutOrNull(timeoutMs) { waiter.granted.await() } ?: false
        synchronized(account) { account.waiters -= waiter }
        return granted
    }

    override fun prefetchGrants(budgetIds: Set<BudgetId>) {
        for (budgetId in budgetIds) {
            val account = components.accounts.getOrCreate(budgetId)
            synchronized(account) {
                if (account.grant == null) account.meter.recordReservation(FIRST_RESERVATION_TOKENS, clock.monotonicMs())
                account.needsAttention = true
            }
        }
        components.signals.signalTableWork()
    }

    /** Discards cached state of [budgetIds] after a change of limits, so that no request is refused on outdated data. */
    fun onLimitsChanged(budgetIds: Set<BudgetId>) {
        for (budgetId in budgetIds) {
            val account = components.accounts.getOrCreate(budgetId)
            synchronized(account) {
                account.balance = null
                account.budgetRow = null
                account.needsAttention = true
            }
        }
        components.signals.signalTableWork()
    }

    private suspend fun tableLoop() =
        coroutineScope {
            while (isActive) {
                tableMaintenance.runPass()
                components.signals.awaitTableWork(tableMaintenance.untilNextPassMs())
            }
        }

    private suspend fun replicationLoop() =
        coroutineScope {
            while (isActive) {
                if (!components.replicator.replicate()) {
                    components.signals.awaitReplication(if (components.replicator.isIdle) IDLE_WAIT_MS else REPLICATE_RETRY_MS)
                }
            }
        }

    private suspend fun transferLoop() =
        coroutineScope {
            while (isActive) {
                components.transfers.sendOpenTransfers(this)
                components.signals.awaitTransfer(if (components.transfers.isIdle) IDLE_WAIT_MS else TRANSFER_RETRY_MS)
            }
        }

    private suspend fun peerRequestLoop() =
        coroutineScope {
            while (isActive) {
                val shortAccounts =
                    if (tableMaintenance.draining) emptyList() else components.accounts.all().filter { requestFromPeersIfNeeded(it) }
                components.signals.awaitPeerRequest(if (shortAccounts.isEmpty()) PEER_REQUEST_IDLE_MS else PEER_REQUEST_INTERVAL_MS)
            }
        }

    /** Requests tokens that [account] lacks, or will lack during a table outage, from peers. Returns true while it lacks tokens. */
    private suspend fun requestFromPeersIfNeeded(account: BudgetAccount): Boolean {
        val nowMs = clock.monotonicMs()
        val plannedTokens =
            synchronized(account) {
                val shortfallTokens = account.shortfallTokens(nowMs)
                val outageTokens =
                    if (tableMaintenance.inOutage) plannedTransferTokens(account.meter, account.usableTokens(nowMs), options) else 0
                val canRefillFromTable =
                    !tableMaintenance.inOutage && (account.budgetRow?.unallocatedTokens ?: Long.MAX_VALUE) >= shortfallTokens
                val isRefillExpected = canRefillFromTable && nowMs - account.unmetDemandSinceMs < REFILL_WAIT_MS
                if (shortfallTokens == 0L && outageTokens == 0L) return false
                if (isRefillExpected || nowMs < account.nextPeerRequestAtMs ||
                    account.isKnownExhausted(account.unmetDemandTokens, nowMs)
                ) {
                    return true
                }
                outageTokens + shortfallTokens * PLANNED_FACTOR
            }
        val inTransitTokens = components.transfers.requestFromPeers(account, plannedTokens)
        synchronized(account) { account.recordPeerRequest(clock.monotonicMs(), inTransitTokens > 0) }
        return true
    }

    private companion object {
        // Signals end the wait when there is work, so this only bounds the effect of a lost one.
        private const val IDLE_WAIT_MS = 10_000L
        private const val REPLICATE_RETRY_MS = 500L
        private const val TRANSFER_RETRY_MS = 1_000L
        private const val PEER_REQUEST_INTERVAL_MS = 50L
        private const val PEER_REQUEST_IDLE_MS = 1_000L
        private const val FIRST_RESERVATION_TOKENS = 2_000L
        private const val PLANNED_FACTOR = 4L

        /** A refill from the table takes one or two round trips; peers are only asked if it takes longer. */
        private const val REFILL_WAIT_MS = 40L
    }
}

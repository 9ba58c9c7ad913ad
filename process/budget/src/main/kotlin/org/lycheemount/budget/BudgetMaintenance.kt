package org.lycheemount.budget

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.BudgetId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import kotlin.random.Random

/** Background work of the ledger: refills, flushes and returns of grants. Runs from [start] to [drain] in the given scope. */
class BudgetMaintenance internal constructor(
    private val parts: BudgetParts,
    private val clock: Clock,
    private val options: BudgetOptions,
    private val random: Random,
    private val log: EventLog,
) : BudgetReplenisher {
    private var job: Job? = null
    private var nextFlushAtMs = 0L
    private var nextAttemptAtMs = 0L
    private var nextVmListAtMs = 0L
    private var failures = 0
    private var draining = false

    /** Starts the background work in [scope]. */
    fun start(scope: CoroutineScope) {
        check(job == null) { "background work is running" }
        job =
            scope.launch {
                while (isActive) {
                    pass()
                    parts.signals.awaitWork(options.tickIntervalMs)
                }
            }
    }

    /**
     * Stops the background work, writes all bills and returns all grants. The caller has settled or released all requests before.
     * Gives up after [BudgetOptions.drainTimeoutMs] without the table; false when bills or grants were left.
     */
    suspend fun drain(): Boolean {
        job?.cancelAndJoin()
        draining = true
        val done =
            withTimeoutOrNull(options.drainTimeoutMs) {
                while (!drained()) {
                    pass()
                    parts.signals.awaitWork(DRAIN_PASS_MS)
                }
                true
            } ?: false
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
            account.want(tokens, nowMs)
            account.waiters += waiter
        }
        parts.signals.work()
        val granted = withTimeoutOrNull(timeoutMs) { waiter.granted.await() } ?: false
        synchronized(account) { account.waiters -= waiter }
        return granted
    }

    override fun prepare(budgetIds: Set<BudgetId>) {
        for (budgetId in budgetIds) {
            val account = parts.accounts.getOrCreate(budgetId)
            synchronized(account) {
                if (account.grant ==
                    null
                ) {
                    account.meter.recordReservation(FIRST_RESERVATION_TOKENS, clock.monotonicMs())
                }
            }
        }
        parts.signals.work()
    }

    private fun drained(): Boolean = parts.bills.size() == 0 && parts.accounts.all().all { synchronized(it) { it.grant == null } }

    private suspend fun pass() {
        val nowMs = clock.monotonicMs()
        tickMeters(nowMs)
        if (nowMs >= nextVmListAtMs) {
            parts.reclaimer.readVmList()
            nextVmListAtMs = nowMs + options.vmListIntervalMs / 2 + random.nextLong(options.vmListIntervalMs)
        }
        if (nowMs < nextAttemptAtMs) return
        if (work(nowMs)) {
            failures = 0
            return
        }
        val delayMs = minOf(options.retryDelayMaxMs, options.retryDelayMs shl minOf(failures, MAX_DOUBLINGS))
        failures++
        // Jitter keeps the routers of a fleet from returning to the table at the same moment.
        nextAttemptAtMs = nowMs + delayMs / 2 + random.nextLong(delayMs / 2 + 1)
    }

    /** One pass over the table: grants before bills before returns. False when the table gave no answer. */
    private suspend fun work(nowMs: Long): Boolean {
        if (!parts.writer.resolvePending()) return false
        if (!draining) for (account in parts.accounts.all()) if (!refill(account, nowMs)) return false
        if (draining || nowMs >= nextFlushAtMs || parts.needsFlush(nowMs)) {
            if (!parts.flusher.flush()) return false
            nextFlushAtMs = nowMs + flushDelayMs()
        }
        for (account in parts.accounts.all()) {
            if (synchronized(account) { account.closing } || draining || isIdle(account, nowMs)) parts.keeper.close(account)
            if (parts.writer.inDoubt) return false
        }
        return parts.reclaimer.reclaimIfDue()
    }

    private suspend fun refill(
        account: BudgetAccount,
        nowMs: Long,
    ): Boolean {
        if (!parts.keeper.refill(account)) return false
        val learn =
            synchronized(account) {
                val stale = nowMs - (account.knowledge?.readAtMs ?: Long.MIN_VALUE / 2) >= KNOWLEDGE_INTERVAL_MS
                if (nowMs - account.wantedAtMs > WANT_MEMORY_MS) account.wantedTokens = 0
                account.wantedTokens > 0 && stale
            }
        return !learn || parts.keeper.learnRemaining(account)
    }

    /** A backlog is written faster than usual, but at a bounded rate. */
    private fun flushDelayMs(): Long {
        val backlog = parts.bills.size() > options.billsPerTransaction
        val delayMs = if (backlog) options.flushIntervalMs / BACKLOG_SPEEDUP else options.flushIntervalMs
        return delayMs - random.nextLong(delayMs / JITTER_PARTS + 1)
    }

    private fun isIdle(
        account: BudgetAccount,
        nowMs: Long,
    ): Boolean =
        synchronized(account) {
            val lastMs = maxOf(account.meter.lastUseAtMs, account.lastRefillAtMs)
            account.grant != null && nowMs - lastMs > options.idleReturnMs
        }

    private fun tickMeters(nowMs: Long) {
        for (account in parts.accounts.all()) synchronized(account) { account.meter.tick(nowMs) }
        parts.ledger.forgetWritten(nowMs)
    }

    private companion object {
        private const val DRAIN_PASS_MS = 50L
        private const val MAX_DOUBLINGS = 5
        private const val FIRST_RESERVATION_TOKENS = 2_000L
        private const val KNOWLEDGE_INTERVAL_MS = 2_000L
        private const val WANT_MEMORY_MS = 5_000L
        private const val BACKLOG_SPEEDUP = 4L
        private const val JITTER_PARTS = 5L
    }
}

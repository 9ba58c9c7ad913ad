package org.lycheemount.budget

import kotlinx.coroutines.CompletableDeferred
import org.lycheemount.common.Clock
import kotlin.random.Random

/** The part of the background work that uses the table: one pass at a time, at a bounded rate. */
internal class TableWork(
    private val parts: BudgetParts,
    private val clock: Clock,
    private val options: BudgetOptions,
    private val random: Random,
) {
    private var nextFlushAtMs = 0L
    private var nextAttemptAtMs = 0L
    private var nextVmListAtMs = 0L
    private var nextSweepAtMs = 0L
    private var failures = 0
    private var drainingSinceMs: Long? = null

    /** Completes once all bills are written and all grants returned. */
    val drained = CompletableDeferred<Unit>()

    @Volatile
    var draining = false

    /** True while the last call of the table had no answer. */
    val inOutage: Boolean get() = failures > 0

    suspend fun pass() {
        val nowMs = clock.monotonicMs()
        val sweep = draining || nowMs >= nextSweepAtMs
        if (sweep) {
            nextSweepAtMs = nowMs + SWEEP_MS
            for (account in parts.accounts.all()) synchronized(account) { account.meter.tick(nowMs) }
            parts.ledger.evictWritten(nowMs)
        }
        if (nowMs >= nextVmListAtMs) {
            nextVmListAtMs = nowMs + options.vmListIntervalMs / 2 + random.nextLong(options.vmListIntervalMs)
            parts.reclaimer.readVmList()
        }
        if (nowMs < nextAttemptAtMs) return
        if (work(nowMs, sweep)) {
            failures = 0
            if (draining && isDrained()) drained.complete(Unit)
            return
        }
        val delayMs = minOf(options.retryDelayMaxMs, options.retryDelayMs shl minOf(failures, MAX_DOUBLINGS))
        failures++
        // Jitter keeps the routers of a fleet from returning to the table at the same moment.
        nextAttemptAtMs = nowMs + delayMs / 2 + random.nextLong(delayMs / 2 + 1)
    }

    /** One pass: grants before bills before the rest. False when the table gave no answer. */
    private suspend fun work(
        nowMs: Long,
        sweep: Boolean,
    ): Boolean {
        if (!parts.writer.resolvePending()) return false
        val accounts = if (sweep) parts.accounts.all() else parts.accounts.needingAttention()
        if (!refillAll(accounts, nowMs)) return false
        if (!parts.reclaimer.reclaimPredecessors()) return false
        if (draining || nowMs >= nextFlushAtMs || parts.needsFlush(nowMs)) {
            if (!parts.flusher.flush()) return false
            nextFlushAtMs = nowMs + flushDelayMs()
        }
        if (sweep) parts.transfers.abandonLost { parts.reclaimer.isGone(it.vmId) || drainedFor(nowMs) > DRAIN_TRANSFER_MS }
        if (sweep && !reduce(accounts, nowMs)) return false
        return parts.reclaimer.reclaimIfDue() && parts.replicas.writeDue()
    }

    private suspend fun refillAll(
        accounts: List<BudgetAccount>,
        nowMs: Long,
    ): Boolean {
        if (draining) return true
        // Requests that wait for tokens go before refills ahead of need.
        val (waiting, others) = accounts.partition { synchronized(it) { it.wantedTokens > 0 } }
        if (!parts.keeper.refill(waiting + others)) return false
        for (account in accounts) if (!learnIfWanting(account, nowMs)) return false
        return true
    }

    private suspend fun learnIfWanting(
        account: BudgetAccount,
        nowMs: Long,
    ): Boolean {
        val learn =
            synchronized(account) {
                if (nowMs - account.wantedAtMs > WANT_MEMORY_MS) account.wantedTokens = 0
                account.needsAttention = account.wantedTokens > 0
                account.wantedTokens > 0 && nowMs - (account.knowledge?.readAtMs ?: Long.MIN_VALUE / 2) >= KNOWLEDGE_INTERVAL_MS
            }
        return !learn || parts.keeper.learnRemaining(account)
    }

    /** Returns the grants of idle budgets, and what a grant holds far above its target. */
    private suspend fun reduce(
        accounts: List<BudgetAccount>,
        nowMs: Long,
    ): Boolean {
        val (ending, others) = accounts.partition { synchronized(it) { isEnding(it, nowMs) } }
        parts.keeper.close(ending)
        for (account in others) {
            val excess = synchronized(account) { excessTokens(account, nowMs) }
            if (excess > 0 && !parts.writer.inDoubt) parts.keeper.giveBack(account) { excess }
        }
        return !parts.writer.inDoubt
    }

    private fun isEnding(
        account: BudgetAccount,
        nowMs: Long,
    ): Boolean {
        val lastMs = maxOf(account.meter.lastUseAtMs, account.lastRefillAtMs)
        return account.grant != null && (account.closing || draining || nowMs - lastMs > options.idleReturnMs)
    }

    private fun excessTokens(
        account: BudgetAccount,
        nowMs: Long,
    ): Long {
        val grant = account.grant ?: return 0
        val target = heldTokens(account.demand(parts.keeper.routers), account.budgetRow?.unallocatedTokens ?: 0, options)
        val above = grant.freeTokens > target * EXCESS_FACTOR && nowMs - account.lastRefillAtMs > options.excessReturnDelayMs
        return if (above) grant.freeTokens - target else 0
    }

    private fun drainedFor(nowMs: Long): Long {
        if (!draining) return 0
        if (drainingSinceMs == null) drainingSinceMs = nowMs
        return nowMs - (drainingSinceMs ?: nowMs)
    }

    /** A backlog is written faster than usual, but at a bounded rate. */
    private fun flushDelayMs(): Long {
        val backlog = parts.bills.size() > options.billsPerTransaction
        val delayMs = if (backlog) options.flushIntervalMs / BACKLOG_SPEEDUP else options.flushIntervalMs
        return delayMs - random.nextLong(delayMs / JITTER_PARTS + 1)
    }

    private fun isDrained(): Boolean = parts.bills.size() == 0 && parts.accounts.all().all { synchronized(it) { it.grant == null } }

    private companion object {
        private const val MAX_DOUBLINGS = 5

        /** Time for peers to answer transfers before a draining router returns its grants without their answer. */
        private const val DRAIN_TRANSFER_MS = 5_000L
        private const val KNOWLEDGE_INTERVAL_MS = 1_000L
        private const val WANT_MEMORY_MS = 3_000L
        private const val BACKLOG_SPEEDUP = 4L
        private const val JITTER_PARTS = 5L
        private const val SWEEP_MS = 1_000L
        private const val EXCESS_FACTOR = 2
    }
}

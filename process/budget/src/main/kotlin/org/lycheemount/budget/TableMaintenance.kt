package org.lycheemount.budget

import kotlinx.coroutines.CompletableDeferred
import org.lycheemount.common.Clock
import kotlin.random.Random

/** Background work on the table, in passes at a bounded rate. Runs one pass at a time. */
internal class TableMaintenance(
    private val components: BudgetComponents,
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

    /** True when the last pass failed because the table did not respond. */
    val inOutage: Boolean get() = failures > 0

    suspend fun runPass() {
        val nowMs = clock.monotonicMs()
        val isSweepDue = draining || nowMs >= nextSweepAtMs
        if (isSweepDue) {
            nextSweepAtMs = nowMs + SWEEP_INTERVAL_MS
            for (account in components.accounts.all()) synchronized(account) { account.meter.tick(nowMs) }
            components.recovery.observePeers(nowMs)
            components.ledger.evictWritten(nowMs)
        }
        if (nowMs >= nextVmListAtMs) {
            nextVmListAtMs = nowMs + options.vmListIntervalMs / 2 + random.nextLong(options.vmListIntervalMs)
            components.reclaimer.readVmList()
        }
        if (nowMs < nextAttemptAtMs) return
        if (runSteps(nowMs, isSweepDue)) {
            failures = 0
            if (draining && isDrained()) drained.complete(Unit)
            return
        }
        val delayMs = minOf(options.retryDelayMaxMs, options.retryDelayMs shl minOf(failures, MAX_DOUBLINGS))
        failures++
        // Jitter keeps routers from retrying against the table at the same time.
        nextAttemptAtMs = nowMs + delayMs / 2 + random.nextLong(delayMs / 2 + 1)
    }

    /** Time until the next pass is due, unless it is requested earlier. */
    fun untilNextPassMs(): Long {
        if (draining) return DRAIN_PASS_MS
        if (inOutage || components.writer.inDoubt || components.accounts.needingAttention().isNotEmpty()) return options.tickIntervalMs
        val untilDueMs = minOf(nextFlushAtMs, nextSweepAtMs, nextVmListAtMs) - clock.monotonicMs()
        return minOf(untilDueMs, components.allocator.untilPostponedRefillMs ?: untilDueMs).coerceAtLeast(MIN_PASS_DELAY_MS)
    }

    /** Runs the steps of one pass: grants, then bills, then the rest. Returns false when the table did not respond. */
    private suspend fun runSteps(
        nowMs: Long,
        isSweepDue: Boolean,
    ): Boolean {
        if (!components.recovery.recover() || !components.writer.resolvePending()) return false
        val accounts = if (isSweepDue) components.accounts.all() else components.accounts.needingAttention()
        if (!refillAll(accounts, nowMs)) return false
        if (!components.reclaimer.reclaimPredecessors()) return false
        if (draining || nowMs >= nextFlushAtMs || components.needsFlush(nowMs)) {
            if (!components.flusher.flush()) return false
            nextFlushAtMs = nowMs + flushDelayMs()
        }
        if (isSweepDue) {
            components.transfers.abandonUndeliverable {
                components.reclaimer.isGone(it.vmId) ||
                    drainingDurationMs(nowMs) > DRAIN_TRANSFER_MS
            }
        }
        if (isSweepDue && !returnUnneededTokens(accounts, nowMs)) return false
        return components.reclaimer.reclaimIfDue() && components.replicas.writeDueBills()
    }

    private suspend fun refillAll(
        accounts: List<BudgetAccount>,
        nowMs: Long,
    ): Boolean {
        if (!components.settlement.settle(accounts)) return false
        if (draining) return true
        // Accounts with waiting requests take precedence over refills ahead of need.
        val (waiting, others) = accounts.partition { synchronized(it) { it.waiters.isNotEmpty() } }
        if (!waiting.all { components.allocator.refillWaiting(it) }) return false
        if (!components.allocator.refillAhead(others)) return false
        for (account in accounts) if (!readBalanceIfNeeded(account, nowMs)) return false
        return true
    }

    private suspend fun readBalanceIfNeeded(
        account: BudgetAccount,
        nowMs: Long,
    ): Boolean {
        val isBalanceDue =
            synchronized(account) {
                if (nowMs - account.unmetDemandAtMs > UNMET_DEMAND_EXPIRY_MS) account.unmetDemandTokens = 0
                account.needsAttention = account.awaitedTokens(nowMs) > 0
                account.unmetDemandTokens > 0 && nowMs - (account.balance?.readAtMs ?: Long.MIN_VALUE / 2) >= BALANCE_READ_INTERVAL_MS
            }
        return !isBalanceDue || components.allocator.readBalance(account)
    }

    /** Returns the grants of idle budgets, and free tokens far above the target of a grant. */
    private suspend fun returnUnneededTokens(
        accounts: List<BudgetAccount>,
        nowMs: Long,
    ): Boolean {
        val (closable, others) = accounts.partition { synchronized(it) { shouldCloseGrant(it, nowMs) } }
        components.allocator.closeGrants(closable)
        val excessive = others.filter { synchronized(it) { excessTokens(it, nowMs) > 0 } }
        if (!components.writer.inDoubt) components.allocator.returnTokens(excessive) { excessTokens(it, nowMs) }
        return !components.writer.inDoubt
    }

    private fun shouldCloseGrant(
        account: BudgetAccount,
        nowMs: Long,
    ): Boolean {
        val lastActivityMs = maxOf(account.meter.lastUseAtMs, account.lastRefillAtMs)
        return account.grant != null && (account.closing || draining || nowMs - lastActivityMs > options.idleReturnMs)
    }

    private fun excessTokens(
        account: BudgetAccount,
        nowMs: Long,
    ): Long {
        val grant = account.grant ?: return 0
        val demand = account.demand(components.allocator.routers)
        val unallocatedTokens = account.budgetRow?.unallocatedTokens ?: 0
        val isExcessive = grant.freeTokens > excessLimitTokens(demand, unallocatedTokens, options)
        if (!isExcessive || nowMs - account.lastRefillAtMs <= options.excessReturnDelayMs) return 0
        return grant.freeTokens - targetFreeTokens(demand, unallocatedTokens, options)
    }

    private fun drainingDurationMs(nowMs: Long): Long {
        if (!draining) return 0
        if (drainingSinceMs == null) drainingSinceMs = nowMs
        return nowMs - (drainingSinceMs ?: nowMs)
    }

    /** Shortens the delay while there is a backlog of bills, but keeps the rate of writes bounded. */
    private fun flushDelayMs(): Long {
        val backlog = components.bills.size() > options.billsPerTransaction
        val intervalMs = flushIntervalMs(components.allocator.routers, options)
        val delayMs = if (backlog) intervalMs / BACKLOG_SPEEDUP else intervalMs
        return delayMs - random.nextLong(delayMs / JITTER_DIVISOR + 1)
    }

    private fun isDrained(): Boolean =
        components.bills.size() == 0 && components.accounts.all().all { synchronized(it) { it.grant == null } }

    private companion object {
        private const val MAX_DOUBLINGS = 5
        private const val DRAIN_PASS_MS = 50L
        private const val MIN_PASS_DELAY_MS = 10L

        /** Time for peers to acknowledge transfers before a draining router returns its grants without waiting for them. */
        private const val DRAIN_TRANSFER_MS = 5_000L
        private const val BALANCE_READ_INTERVAL_MS = 1_000L
        private const val UNMET_DEMAND_EXPIRY_MS = 3_000L
        private const val BACKLOG_SPEEDUP = 4L
        private const val JITTER_DIVISOR = 5L
        private const val SWEEP_INTERVAL_MS = 1_000L
    }
}

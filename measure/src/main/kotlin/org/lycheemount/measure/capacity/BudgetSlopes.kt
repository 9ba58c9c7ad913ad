package org.lycheemount.measure.capacity

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.lycheemount.budget.BudgetModule
import org.lycheemount.budget.BudgetOptions
import org.lycheemount.budget.Charge
import org.lycheemount.budget.ReservationOutcome
import org.lycheemount.budget.createBudgetAdministration
import org.lycheemount.budget.createBudgetLedgerModule
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.BudgetId
import org.lycheemount.common.DiscardingEventLog
import org.lycheemount.common.ModelId
import org.lycheemount.common.RegionId
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.TeamId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.measure.control.CountingTableService
import org.lycheemount.measure.control.formatDecimal
import org.lycheemount.testing.FakeClock
import org.lycheemount.testing.FakePeerNetwork
import org.lycheemount.testing.FakeTableService
import org.lycheemount.testing.FakeVmDirectory
import java.lang.management.ManagementFactory
import kotlin.random.Random

private val grantCounts = listOf(250, 1_000, 4_000)
private val budgetCounts = listOf(1_000, 4_000, 13_000)
private val billCounts = listOf(5_000, 10_000, 20_000)
private val steadyCounts = listOf(1, 16, 64, 256, 1_024)
private val upkeepCounts = listOf(512, 2_048, 6_000, 13_000)
private val slowFlush = BudgetOptions(flushIntervalMs = 3_000)
private const val CALLS = 4_000
private const val WORST_CASE_TOKENS = 2_000L

// Small enough for first grants to cover all requests of a bench that does not refill.
private const val SMALL_TOKENS = 8L
private const val BACKLOG_SECONDS = 300
private const val REQUESTS_PER_SECOND = 80

internal fun budgetSlopes(): List<Pair<String, Any>> =
    slope("budget_without_grant", "bytes", budgetCounts) { budgets -> budgetBytes(budgets) } +
        slope("budget_with_grant", "bytes", grantCounts) { grants -> BudgetBench(grants).apply { start() }.dropBytes() } +
        slope("unwritten_bill", "bytes", billCounts) { bills -> billBytes(bills) } +
        listOf("capacity_reserve_and_settle_cpu_ns" to formatDecimal(reserveNanos())) +
        slope("budget_upkeep_by_grants", "cpu_us_per_second", upkeepCounts) { grants -> upkeepMicros(grants) } +
        steadyCounts.flatMap { grants -> steadyLoad("router_with_${grants}_grants", grants, BudgetOptions()) } +
        steadyLoad("router_with_64_grants_flush_every_3_s", 64, slowFlush) +
        backlog()

private fun budgetBytes(budgets: Int): Double {
    val bench = BudgetBench(grants = 1).apply { start() }
    return retainedBytes {
        repeat(budgets) { bench.ledger.reserve(RequestId("r$it"), BudgetId("empty-$it"), 100, 0) }
        bench
    }
}

private fun billBytes(bills: Int): Double {
    val bench = BudgetBench(grants = 100).apply { start() }
    return retainedBytes {
        repeat(bills) { bench.serve(it, SMALL_TOKENS) }
        check(bench.refused == 0) { "${bench.refused} reservations were refused" }
        bench
    }
}

private fun reserveNanos(): Double {
    val bench = BudgetBench(grants = 100).apply { start() }
    val nanos = cpuNanosPerOperation(CALLS) { bench.serve(it, SMALL_TOKENS) }
    check(bench.refused == 0) { "${bench.refused} reservations were refused" }
    return nanos
}

/** Table use of one router that holds [grants] grants and serves its share of the requests at the planned size. */
private fun steadyLoad(
    name: String,
    grants: Int,
    options: BudgetOptions,
): List<Pair<String, Any>> {
    val bench = BudgetBench(grants, options).apply { start() }
    val taking = bench.commitsOfStart
    // Grants have reached their size by then.
    bench.serveFor(seconds = 600)
    val commits = bench.table.commits
    val rows = bench.table.rowsWritten
    val reads = bench.table.reads
    val seconds = 120
    bench.serveFor(seconds)
    return listOf(
        "capacity_${name}_commits_for_first_grants" to taking,
        "capacity_${name}_commits_per_second" to formatDecimal((bench.table.commits - commits).toDouble() / seconds),
        "capacity_${name}_rows_written_per_second" to formatDecimal((bench.table.rowsWritten - rows).toDouble() / seconds),
        "capacity_${name}_reads_per_second" to formatDecimal((bench.table.reads - reads).toDouble() / seconds),
        "capacity_${name}_refused_requests" to bench.refused,
    )
}

/** CPU time of the background work for [grants] grants in a second, requests and the table in memory included. */
private fun upkeepMicros(grants: Int): Double {
    val bench = BudgetBench(grants).apply { start() }
    bench.serveFor(seconds = 20)
    val threads = ManagementFactory.getThreadMXBean()
    val startedNanos = threads.currentThreadCpuTime
    val seconds = 20
    bench.serveFor(seconds)
    return (threads.currentThreadCpuTime - startedNanos) / 1_000.0 / seconds
}

/** Table use of one router after an outage of [BACKLOG_SECONDS], until it has no more than a second's bills. */
private fun backlog(): List<Pair<String, Any>> {
    val bench = BudgetBench(grants = 64).apply { start() }
    bench.serveFor(seconds = 600)
    bench.setTableAvailable(false)
    bench.serveFor(BACKLOG_SECONDS)
    bench.setTableAvailable(true)
    val commits = bench.table.commits
    val rows = bench.table.rowsWritten
    var seconds = 0
    var lastRows: Long
    do {
        lastRows = bench.table.rowsWritten
        bench.serveFor(seconds = 1)
        seconds++
    } while (seconds < 600 && (seconds < 10 || bench.table.rowsWritten - lastRows > 3 * REQUESTS_PER_SECOND))
    return listOf(
        "capacity_backlog_of_${BACKLOG_SECONDS}_s_written_s" to seconds,
        "capacity_backlog_of_${BACKLOG_SECONDS}_s_commits_per_second" to
            formatDecimal((bench.table.commits - commits).toDouble() / seconds),
        "capacity_backlog_of_${BACKLOG_SECONDS}_s_rows_written" to bench.table.rowsWritten - rows,
        "capacity_backlog_of_${BACKLOG_SECONDS}_s_refused_requests" to bench.refused,
    )
}

/** One router's budgets over the table in memory, in virtual time that [FakeClock] and the scheduler share. */
@OptIn(ExperimentalCoroutinesApi::class)
private class BudgetBench(
    private val grants: Int,
    private val options: BudgetOptions = BudgetOptions(),
) {
    private val clock = FakeClock()
    private val rows = FakeTableService(clock)
    val table = CountingTableService(rows, clock)
    private var runtime: Runtime? = Runtime()
    private var served = 0

    var refused = 0
        private set

    var commitsOfStart = 0L
        private set

    val ledger get() = runtime!!.module.ledger

    fun start() {
        val administration = createBudgetAdministration(table) { "admin-${served++}" }
        runBlocking {
            repeat(grants) {
                administration.create(budget(it))
                administration.topUp(budget(it), "first", TOP_UP_TOKENS)
            }
        }
        commitsOfStart = -table.commits
        runtime!!.module.maintenance.start(runtime!!.scope)
        runtime!!.module.maintenance.prefetchGrants((0 until grants).map { budget(it) }.toSet())
        advance(START_MS)
        commitsOfStart += table.commits
    }

    fun setTableAvailable(available: Boolean) {
        rows.available = available
    }

    /** Serves one request that uses three eighths of its worst case. */
    fun serve(
        number: Int,
        worstCaseTokens: Long = WORST_CASE_TOKENS,
    ) {
        val requestId = RequestId("request-$number")
        val outcome = ledger.reserve(requestId, budget(number % grants), worstCaseTokens, clock.nowMs)
        val used = charge.copy(promptTokens = worstCaseTokens / 4, completionTokens = worstCaseTokens / 8)
        if (outcome is ReservationOutcome.Reserved) ledger.settle(requestId, used, clock.nowMs) else refused++
    }

    fun serveFor(seconds: Int) =
        repeat(seconds * REQUESTS_PER_SECOND) {
            serve(served++)
            if (it % 2 == 1) advance(2_000L / REQUESTS_PER_SECOND)
        }

    /** Returns the bytes that leave the heap with the router, while the table stays. */
    fun dropBytes(): Double {
        val before = heapBytes()
        runtime?.scope?.cancel()
        runtime = null
        return (before - heapBytes()).toDouble()
    }

    private fun advance(byMs: Long) {
        val endMs = clock.nowMs + byMs
        while (clock.nowMs < endMs) {
            val stepMs = minOf(STEP_MS, endMs - clock.nowMs)
            clock.advance(stepMs)
            runtime!!.scheduler.advanceTimeBy(stepMs)
            runtime!!.scheduler.runCurrent()
        }
    }

    private fun budget(number: Int) = BudgetId("budget-$number")

    private inner class Runtime {
        val scheduler = TestCoroutineScheduler()
        val scope = CoroutineScope(StandardTestDispatcher(scheduler) + SupervisorJob())
        private val identity = RouterIdentity(RouterId("router-0"), VmId("vm-0"), RegionId("region"), ZoneId("zone"), 1)
        val module: BudgetModule =
            createBudgetLedgerModule(
                table,
                FakeVmDirectory(clock).apply { add(identity) },
                FakePeerNetwork(scope).join(identity),
                clock,
                DiscardingEventLog,
                options,
                random = Random(1),
            )
    }

    private companion object {
        private const val TOP_UP_TOKENS = 1_000_000_000_000L
        private const val START_MS = 3_000L
        private const val STEP_MS = 25L
        private val charge = Charge(TeamId("team"), BackendTarget.Model(ModelId("model")), promptTokens = 0, completionTokens = 0)
    }
}

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
private val steadyGrantCounts = listOf(1, 16, 64, 256, 1_024)
private val maintenanceGrantCounts = listOf(512, 2_048, 6_000, 13_000)
private val slowFlushOptions = BudgetOptions(flushIntervalMs = 3_000)
private const val RESERVATIONS = 4_000
private const val WORST_CASE_TOKENS = 2_000L

// Small enough that the first grants cover all requests of a fixture that requests no further grants.
private const val SMALL_REQUEST_TOKENS = 8L
private const val BACKLOG_SECONDS = 300
private const val REQUESTS_PER_SECOND = 80

internal fun budgetSlopes(): List<Pair<String, Any>> =
    measureSlope("budget_without_grant", "bytes", budgetCounts) { budgets -> budgetWithoutGrantBytes(budgets) } +
        measureSlope("budget_with_grant", "bytes", grantCounts) { grants -> budgetWithGrantBytes(grants) } +
        measureSlope("unwritten_bill", "bytes", billCounts) { bills -> billBytes(bills) } +
        listOf("capacity_reserve_and_settle_cpu_ns" to formatDecimal(reserveAndSettleNanos())) +
        measureSlope("budget_upkeep_by_grants", "cpu_us_per_second", maintenanceGrantCounts) { grants -> maintenanceCpuUs(grants) } +
        steadyGrantCounts.flatMap { grants -> steadyLoadFigures("router_with_${grants}_grants", grants, BudgetOptions()) } +
        steadyLoadFigures("router_with_64_grants_flush_every_3_s", 64, slowFlushOptions) +
        backlogFigures()

private fun budgetWithoutGrantBytes(budgets: Int): Double {
    val fixture = BudgetFixture(grants = 1).apply { start() }
    return retainedBytes {
        repeat(budgets) { fixture.ledger.reserve(RequestId("r$it"), BudgetId("empty-$it"), 100, 0) }
        fixture
    }
}

private fun budgetWithGrantBytes(grants: Int): Double = BudgetFixture(grants).apply { start() }.freedBytesOnShutdown()

private fun billBytes(bills: Int): Double {
    val fixture = BudgetFixture(grants = 100).apply { start() }
    return retainedBytes {
        repeat(bills) { fixture.serve(it, SMALL_REQUEST_TOKENS) }
        check(fixture.refusedReservations == 0) { "${fixture.refusedReservations} reservations were refused" }
        fixture
    }
}

private fun reserveAndSettleNanos(): Double {
    val fixture = BudgetFixture(grants = 100).apply { start() }
    val nanos = cpuNanosPerOperation(RESERVATIONS) { fixture.serve(it, SMALL_REQUEST_TOKENS) }
    check(fixture.refusedReservations == 0) { "${fixture.refusedReservations} reservations were refused" }
    return nanos
}

/** Returns the table use of one router with [grants] grants at its share of the planned request rate. */
private fun steadyLoadFigures(
    name: String,
    grants: Int,
    options: BudgetOptions,
): List<Pair<String, Any>> {
    val fixture = BudgetFixture(grants, options).apply { start() }
    val commitsForFirstGrants = fixture.startupCommits
    // After 600 s the grants have reached their steady size.
    fixture.serveFor(seconds = 600)
    val commitsBefore = fixture.table.commits
    val rowsBefore = fixture.table.rowsWritten
    val readsBefore = fixture.table.reads
    val seconds = 120
    fixture.serveFor(seconds)
    return listOf(
        "capacity_${name}_commits_for_first_grants" to commitsForFirstGrants,
        "capacity_${name}_commits_per_second" to formatDecimal((fixture.table.commits - commitsBefore).toDouble() / seconds),
        "capacity_${name}_rows_written_per_second" to formatDecimal((fixture.table.rowsWritten - rowsBefore).toDouble() / seconds),
        "capacity_${name}_reads_per_second" to formatDecimal((fixture.table.reads - readsBefore).toDouble() / seconds),
        "capacity_${name}_refused_requests" to fixture.refusedReservations,
    )
}

/** Returns the CPU microseconds per second of background work for [grants] grants, including requests and the in-memory table. */
private fun maintenanceCpuUs(grants: Int): Double {
    val fixture = BudgetFixture(grants).apply { start() }
    fixture.serveFor(seconds = 20)
    val threadMxBean = ManagementFactory.getThreadMXBean()
    val startCpuNanos = threadMxBean.currentThreadCpuTime
    val seconds = 20
    fixture.serveFor(seconds)
    return (threadMxBean.currentThreadCpuTime - startCpuNanos) / 1_000.0 / seconds
}

/** Returns the table use of one router after an outage of [BACKLOG_SECONDS], until it writes no more than a second's bills in a second. */
private fun backlogFigures(): List<Pair<String, Any>> {
    val fixture = BudgetFixture(grants = 64).apply { start() }
    fixture.serveFor(seconds = 600)
    fixture.setTableAvailable(false)
    fixture.serveFor(BACKLOG_SECONDS)
    fixture.setTableAvailable(true)
    val commitsBefore = fixture.table.commits
    val rowsBefore = fixture.table.rowsWritten
    var seconds = 0
    var lastRows: Long
    do {
        lastRows = fixture.table.rowsWritten
        fixture.serveFor(seconds = 1)
        seconds++
    } while (seconds < 600 && (seconds < 10 || fixture.table.rowsWritten - lastRows > 3 * REQUESTS_PER_SECOND))
    return listOf(
        "capacity_backlog_of_${BACKLOG_SECONDS}_s_written_s" to seconds,
        "capacity_backlog_of_${BACKLOG_SECONDS}_s_commits_per_second" to
            formatDecimal((fixture.table.commits - commitsBefore).toDouble() / seconds),
        "capacity_backlog_of_${BACKLOG_SECONDS}_s_rows_written" to fixture.table.rowsWritten - rowsBefore,
        "capacity_backlog_of_${BACKLOG_SECONDS}_s_refused_requests" to fixture.refusedReservations,
    )
}

/** Budget ledger of one router with an in-memory table, in virtual time that [FakeClock] and the scheduler share. */
@OptIn(ExperimentalCoroutinesApi::class)
private class BudgetFixture(
    private val grants: Int,
    private val options: BudgetOptions = BudgetOptions(),
) {
    private val clock = FakeClock()
    private val fakeTable = FakeTableService(clock)
    val table = CountingTableService(fakeTable, clock)
    private var runtime: Runtime? = Runtime()
    private var nextNumber = 0

    var refusedReservations = 0
        private set

    var startupCommits = 0L
        private set

    val ledger get() = runtime!!.module.ledger

    fun start() {
        val administration = createBudgetAdministration(table) { "admin-${nextNumber++}" }
        runBlocking {
            repeat(grants) {
                administration.create(budget(it))
                administration.topUp(budget(it), "first", TOP_UP_TOKENS)
            }
        }
        startupCommits = -table.commits
        runtime!!.module.maintenance.start(runtime!!.scope)
        runtime!!.module.maintenance.prefetchGrants((0 until grants).map { budget(it) }.toSet())
        advance(START_MS)
        startupCommits += table.commits
    }

    fun setTableAvailable(available: Boolean) {
        fakeTable.isAvailable = available
    }

    /** Serves one request that uses three eighths of its worst case. */
    fun serve(
        number: Int,
        worstCaseTokens: Long = WORST_CASE_TOKENS,
    ) {
        val requestId = RequestId("request-$number")
        val outcome = ledger.reserve(requestId, budget(number % grants), worstCaseTokens, clock.nowMs)
        val used = charge.copy(promptTokens = worstCaseTokens / 4, completionTokens = worstCaseTokens / 8)
        if (outcome is ReservationOutcome.Reserved) ledger.settle(requestId, used, clock.nowMs) else refusedReservations++
    }

    fun serveFor(seconds: Int) =
        repeat(seconds * REQUESTS_PER_SECOND) {
            serve(nextNumber++)
            if (it % 2 == 1) advance(2_000L / REQUESTS_PER_SECOND)
        }

    /** Drops the router, but not the table, and returns the heap bytes that this frees. */
    fun freedBytesOnShutdown(): Double {
        val before = usedHeapBytes()
        runtime?.scope?.cancel()
        runtime = null
        return (before - usedHeapBytes()).toDouble()
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

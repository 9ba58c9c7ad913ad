package org.lycheemount.measure.budgets

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
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
import org.lycheemount.common.Clock
import org.lycheemount.common.DiscardingEventLog
import org.lycheemount.common.ModelId
import org.lycheemount.common.RegionId
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.TeamId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.measure.Measurement
import org.lycheemount.testing.FakePeerNetwork
import org.lycheemount.testing.FakeTableService
import org.lycheemount.testing.FakeVmDirectory
import kotlin.random.Random

/**
 * Measures one router at several numbers of budgets: time per request, heap, and background work while idle.
 *
 * Heap and idle work are also given as slopes per budget. Times are wall-clock times and vary between runs. The idle time covers all
 * background work in one second of virtual time without requests.
 */
class BudgetsCostMeasurement : Measurement {
    override val name: String = "budgets-cost"

    override fun run(): List<Pair<String, Any>> {
        measureCost(BUDGET_COUNTS.first())
        val points = BUDGET_COUNTS.map { it to measureCost(it) }
        val figures = mutableListOf<Pair<String, Any>>()
        for ((size, cost) in points) {
            figures += "reserve_settle_ns_at_${size}_budgets" to cost.requestNs
            figures += "idle_second_us_at_${size}_budgets" to cost.idleSecondUs
            figures += "heap_bytes_at_${size}_budgets" to cost.heapBytes
            figures += "bytes_per_unwritten_bill_at_${size}_budgets" to cost.heapBytesPerBill
        }
        figures += "heap_bytes_per_budget_with_grant" to slope(points.map { (size, cost) -> size to cost.heapBytes.toDouble() })
        figures += "idle_second_ns_per_budget" to slope(points.map { (size, cost) -> size to cost.idleSecondUs * NS_PER_US })
        return figures
    }

    private class Cost(
        val requestNs: Long,
        val idleSecondUs: Double,
        val heapBytes: Long,
        val heapBytesPerBill: Long,
    )

    private fun measureCost(budgetCount: Int): Cost {
        val scheduler = TestCoroutineScheduler()
        val scope = CoroutineScope(StandardTestDispatcher(scheduler) + Job())
        val clock = SchedulerClock(scheduler)
        val table = FakeTableService(clock)
        val ids = List(budgetCount) { BudgetId("budget-$it") }
        createFundedBudgets(table, ids, scope, scheduler)
        val heapBytesBefore = usedHeapBytes()
        val tableRows = table.copyRows().size
        val module = createModule(scope, clock, table)
        module.maintenance.prefetchGrants(ids.toSet())
        module.maintenance.start(scope)
        scheduler.advanceTimeBy(STARTUP_MS)
        check(table.copyRows().size == tableRows + budgetCount) { "expected one grant row per budget" }
        // The fake table keeps its rows and decided transactions in the same heap, so their size is measured separately and subtracted.
        val heapBytes = usedHeapBytes() - heapBytesBefore - measureFakeTableBytes(budgetCount)
        val idleSecondUs = measureIdleSecondUs(scheduler)
        val heapBytesBeforeBills = usedHeapBytes()
        val requestNs = measureRequestNs(module, ids, scheduler)
        val heapBytesPerBill = (usedHeapBytes() - heapBytesBeforeBills) / REQUESTS
        scope.cancel()
        return Cost(requestNs, idleSecondUs, heapBytes, heapBytesPerBill)
    }

    /** Measures the heap that the fake table uses for [budgetCount] grants and their transactions, with a table filled in the same way. */
    private fun measureFakeTableBytes(budgetCount: Int): Long {
        val scheduler = TestCoroutineScheduler()
        val scope = CoroutineScope(StandardTestDispatcher(scheduler) + Job())
        val clock = SchedulerClock(scheduler)
        val ids = List(budgetCount) { BudgetId("budget-$it") }
        val table = FakeTableService(clock)
        createFundedBudgets(table, ids, scope, scheduler)
        val heapBytesBefore = usedHeapBytes()
        var module: BudgetModule? = createModule(scope, clock, table)
        module?.maintenance?.prefetchGrants(ids.toSet())
        module?.maintenance?.start(scope)
        scheduler.advanceTimeBy(STARTUP_MS)
        scope.cancel()
        scheduler.advanceTimeBy(STARTUP_MS)
        module = null
        val bytes = usedHeapBytes() - heapBytesBefore
        check(table.commitCount > 0 && module == null) { "the fake table has no commits" }
        return bytes
    }

    private fun createFundedBudgets(
        table: FakeTableService,
        ids: List<BudgetId>,
        scope: CoroutineScope,
        scheduler: TestCoroutineScheduler,
    ) {
        var transactions = 0
        val administration = createBudgetAdministration(table) { "admin-${transactions++}" }
        scope.runNow(scheduler) {
            for (id in ids) {
                administration.create(id)
                administration.topUp(id, "start", BUDGET_TOKENS)
            }
        }
    }

    private fun createModule(
        scope: CoroutineScope,
        clock: Clock,
        table: FakeTableService,
    ): BudgetModule {
        val identity = RouterIdentity(RouterId("router"), VmId("vm"), RegionId("region"), ZoneId("zone"), incarnation = 1)
        val vms = FakeVmDirectory(clock).apply { add(identity) }
        val peers = FakePeerNetwork(scope).join(identity)
        return createBudgetLedgerModule(table, vms, peers, clock, DiscardingEventLog, BudgetOptions(), Random(1))
    }

    private fun measureIdleSecondUs(scheduler: TestCoroutineScheduler): Double {
        val startNs = System.nanoTime()
        scheduler.advanceTimeBy(IDLE_SECONDS * MS_PER_SECOND)
        return Math.round((System.nanoTime() - startNs) / IDLE_SECONDS / NS_PER_US * 10) / 10.0
    }

    private fun measureRequestNs(
        module: BudgetModule,
        ids: List<BudgetId>,
        scheduler: TestCoroutineScheduler,
    ): Long {
        val nowMs = scheduler.currentTime
        val requests = List(REQUESTS) { RequestId("request-$it") }
        val startNs = System.nanoTime()
        for ((index, request) in requests.withIndex()) {
            val outcome = module.ledger.reserve(request, ids[index % ids.size], RESERVED_TOKENS, nowMs)
            check(outcome is ReservationOutcome.Reserved) { "reservation refused: $outcome" }
            module.ledger.settle(request, CHARGE, nowMs)
        }
        return (System.nanoTime() - startNs) / REQUESTS
    }

    private companion object {
        private val BUDGET_COUNTS = listOf(1_000, 4_000, 13_000)
        private val CHARGE = Charge(TeamId("team"), BackendTarget.Model(ModelId("model")), 1, 1)
        private const val REQUESTS = 100_000
        private const val RESERVED_TOKENS = 4L
        private const val BUDGET_TOKENS = 10_000_000L
        private const val STARTUP_MS = 5_000L
        private const val IDLE_SECONDS = 20L
        private const val MS_PER_SECOND = 1_000L
        private const val NS_PER_US = 1_000.0
    }
}

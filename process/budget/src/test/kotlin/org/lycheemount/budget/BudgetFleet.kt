package org.lycheemount.budget

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.plus
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.test.TestDispatcher
import kotlinx.coroutines.test.TestScope
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.BudgetId
import org.lycheemount.common.Clock
import org.lycheemount.common.DiscardingEventLog
import org.lycheemount.common.EventLog
import org.lycheemount.common.ModelId
import org.lycheemount.common.RegionId
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.TeamId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.TableService
import org.lycheemount.testing.FakePeerNetwork
import org.lycheemount.testing.FakeTableLink
import org.lycheemount.testing.FakeTableService
import org.lycheemount.testing.FakeVmDirectory
import org.lycheemount.testing.PausableDispatcher
import kotlin.coroutines.ContinuationInterceptor
import kotlin.random.Random
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes

internal val BUDGET = BudgetId("assessments")

/** Routers with the real budget code on fakes of the table, the VM list and the network, in virtual time. */
internal class BudgetFleet(
    private val scope: CoroutineScope,
    scheduler: TestCoroutineScheduler,
    private val options: BudgetOptions = BudgetOptions(),
    private val seed: Int = 1,
    serveTable: (TableService, Clock) -> TableService = { table, _ -> table },
) {
    val clock =
        object : Clock {
            override fun monotonicMs() = scheduler.currentTime

            override fun wallClockMs() = TABLE_EPOCH_MS + scheduler.currentTime
        }
    val table = FakeTableService(clock, firstEra = null)
    private val servedTable = serveTable(table, clock)
    val vmDirectory = FakeVmDirectory(clock)
    val network = FakePeerNetwork(scope, seed = seed)
    val routers = linkedMapOf<String, Router>()
    private var transactionCount = 0

    /** Name and fields of each warning of the routers. */
    val warnings = ArrayList<Pair<String, Map<String, Any?>>>()
    private val log =
        object : EventLog by DiscardingEventLog {
            override fun warn(
                event: String,
                vararg fields: Pair<String, Any?>,
            ) {
                warnings += event to fields.toMap()
            }
        }

    /** Scope of calls of the table from outside the routers. */
    val linkScope: CoroutineScope get() = scope
    val administration = createBudgetAdministration(table) { "admin-${transactionCount++}" }

    fun start(
        name: String,
        incarnation: Long = 1,
        vmName: String = "vm-$name-$incarnation",
        listed: Boolean = true,
    ): Router {
        val identity = RouterIdentity(RouterId(name), VmId(vmName), RegionId("region"), ZoneId("zone"), incarnation)
        return Router(identity, listed).also { routers[name] = it }
    }

    suspend fun createFundedBudget(
        tokens: Long,
        topUpId: String = "first",
        budgetId: BudgetId = BUDGET,
    ) {
        administration.create(budgetId)
        administration.topUp(budgetId, topUpId, tokens)
    }

    suspend fun status(budgetId: BudgetId = BUDGET): BudgetStatus = (administration.status(budgetId) as BudgetStatusResult.Found).status

    /** Bills in the table, by request. */
    suspend fun writtenBills(budgetId: BudgetId = BUDGET): Map<RequestId, Bill> =
        (administration.bills(budgetId, limit = Int.MAX_VALUE - 1) as BillsResult.Page).bills.associateBy { it.requestId }

    inner class Router(
        val identity: RouterIdentity,
        listed: Boolean,
    ) {
        private val job = Job(scope.coroutineContext[Job])
        val dispatcher = PausableDispatcher(dispatcherOf(scope))
        private val routerScope = scope + job + dispatcher
        val messenger = FaultyMessenger(network.join(identity), scope, routerScope, Random(seed + identity.hashCode()))
        val tableLink = FakeTableLink(servedTable, scope, random = Random(seed + identity.incarnation.toInt())) { table.era }
        private val module =
            createBudgetLedgerModule(
                tableLink,
                vmDirectory,
                messenger,
                clock,
                log,
                options,
                Random(seed + identity.hashCode()),
                eras = tableLink,
            )
        val components = module.components
        val ledger = module.ledger
        val maintenance = module.maintenance
        val stateDump = module.stateDump

        init {
            if (listed) vmDirectory.add(identity)
            module.maintenance.start(routerScope)
        }

        fun reserve(
            request: String,
            tokens: Long,
            budgetId: BudgetId = BUDGET,
        ) = ledger.reserve(RequestId(request), budgetId, tokens, clock.monotonicMs())

        fun settle(
            request: String,
            tokens: Long,
        ) = ledger.settle(RequestId(request), charge(tokens), clock.monotonicMs())

        /** Reserves, waiting for tokens if needed, and settles at once. Returns false when refused. */
        suspend fun spend(
            request: String,
            tokens: Long,
            budgetId: BudgetId = BUDGET,
        ): Boolean {
            if (reserve(request, tokens, budgetId) is ReservationOutcome.Refused) {
                maintenance.awaitTokens(budgetId, tokens, AWAIT_TIMEOUT_MS)
                if (reserve(request, tokens, budgetId) is ReservationOutcome.Refused) return false
            }
            settle(request, tokens)
            return true
        }

        /** Waits for the first grants, then spends 1,000 tokens/s for 200 s, so that the spend rate is known. */
        suspend fun spendSteadily() {
            delay(20_000)
            repeat(200) {
                assertTrue(spend("r$it", 1_000))
                delay(1_000)
            }
        }

        /** Kills the process; it sends no further messages. */
        fun kill() {
            job.cancel()
            network.leave(identity.routerId)
            routers.remove(identity.routerId.value)
        }

        /** Kills the process and removes its VM from the VM list after [lagMs]. */
        suspend fun killAndUnlist(lagMs: Long = 10_000) {
            kill()
            delay(lagMs)
            vmDirectory.remove(identity)
        }
    }

    private companion object {
        private const val TABLE_EPOCH_MS = 1_700_000_000_000
        private const val AWAIT_TIMEOUT_MS = 2_000L
    }
}

private fun dispatcherOf(scope: CoroutineScope) = scope.coroutineContext[ContinuationInterceptor] as TestDispatcher

internal fun charge(tokens: Long) = Charge(TeamId("team"), BackendTarget.Model(ModelId("loft-model")), 0, tokens)

/** Runs [body] with a fleet whose background work is cancelled at the end of the test. */
internal fun fleetTest(
    options: BudgetOptions = BudgetOptions(),
    seed: Int = 1,
    serveTable: (TableService, Clock) -> TableService = { table, _ -> table },
    body: suspend TestScope.(BudgetFleet) -> Unit,
) = kotlinx.coroutines.test.runTest(timeout = TEST_TIMEOUT) {
    val fleetScope = CoroutineScope(coroutineContext + Job())
    try {
        body(BudgetFleet(fleetScope, testScheduler, options, seed, serveTable))
    } finally {
        fleetScope.cancel()
    }
}

/** Guards only against a hanging test; the time that a trace takes depends on the load of the machine. */
private val TEST_TIMEOUT = 20.minutes

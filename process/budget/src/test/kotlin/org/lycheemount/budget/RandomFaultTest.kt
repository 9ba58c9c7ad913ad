package org.lycheemount.budget

import kotlinx.coroutines.delay
import org.lycheemount.common.BudgetId
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterIdentity
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Exact in-memory record of the limit and the use of one budget, with which the distributed ledger is compared. */
internal class ReferenceLedger {
    var limitTokens = 0L
    val used = HashMap<RequestId, Long>()

    fun checkLimit(context: String) = check(used.values.sum() <= limitTokens) { "$context: used ${used.values.sum()} of $limitTokens" }
}

/** Runs random requests and faults; each trace is reproducible by its seed. */
class RandomFaultTest {
    @Test
    fun `random faults do not overspend a budget, duplicate a bill or lose a replicated bill`() {
        for (seed in 1..SEED_COUNT) fleetTest(OPTIONS, seed) { Trace(it, seed).run() }
    }

    @Test
    fun `random faults do not overspend a budget or lose a replicated bill while ceilings grow and grants follow demand`() {
        for (seed in 1..SEED_COUNT) {
            fleetTest(
                SHORT_OUTAGE_OPTIONS,
                SHORT_OUTAGE_SEED_OFFSET + seed,
            ) { Trace(it, SHORT_OUTAGE_SEED_OFFSET + seed, speedup = 10).run() }
        }
    }

    @Test
    fun `random faults do not overspend a budget or lose a replicated bill while ceilings bind after the outage grace`() {
        for (seed in 1..SEED_COUNT) {
            fleetTest(
                SHORT_OUTAGE_OPTIONS.copy(ceilingReleaseMs = 60_000),
                LATE_CEILING_SEED_OFFSET + seed,
            ) { Trace(it, LATE_CEILING_SEED_OFFSET + seed, speedup = 10).run() }
        }
    }

    @Test
    fun `random faults do not overspend a budget or lose a replicated bill while ceilings follow what is left of it`() {
        for (seed in 1..SEED_COUNT) {
            fleetTest(
                SHORT_OUTAGE_OPTIONS.copy(ceilingReleaseMs = 60_000, ceilingBudgetShare = 0.07),
                BUDGET_SHARE_SEED_OFFSET + seed,
            ) { Trace(it, BUDGET_SHARE_SEED_OFFSET + seed, speedup = 10).run() }
        }
    }

    /** @param speedup divides all pauses, for options with shorter times. */
    private class Trace(
        private val fleet: BudgetFleet,
        private val seed: Int,
        private val speedup: Long = 1,
    ) {
        private val random = Random(seed)
        private val budgets = listOf(BUDGET, BudgetId("orders"))
        private val reference = budgets.associateWith { ReferenceLedger() }
        private val openRequests = mutableListOf<OpenRequest>()
        private val settledBills = HashMap<RequestId, Bill>()
        private val replicaPeerByRequest = HashMap<RequestId, RouterIdentity?>()
        private val killedRouters = mutableSetOf<RouterIdentity>()
        private var requestCount = 0
        private var topUpCount = 0
        private var lastIncarnation = 1L

        suspend fun run() {
            for (budget in budgets) {
                fleet.administration.create(budget)
                topUp(budget, 60_000)
            }
            repeat(ROUTER_COUNT) { fleet.start("router$it") }
            repeat(STEP_COUNT) { step ->
                performRandomStep()
                delay(random.nextLong(1, if (random.nextInt(20) == 0) 200_000 else 3_000) / speedup)
                checkInvariants("seed $seed step $step")
            }
            endFaults()
            delay(500_000 / speedup)
            checkInvariants("seed $seed after the faults ended")
            checkNoReplicatedBillLost()
            openRequests.toList().forEach { finishRequest(it) }
            for (router in fleet.routers.values.toList()) {
                assertTrue(
                    router.maintenance.drain(),
                    "seed $seed: drain is incomplete; state ${router.stateDump.dumpState()}",
                )
            }
            checkInvariants("seed $seed after the drain")
        }

        private suspend fun performRandomStep() {
            when (random.nextInt(24)) {
                in 0..9 -> repeat(random.nextInt(1, 12)) { startRequest() }
                in 10..13 -> openRequests.shuffled(random).take(6).forEach { finishRequest(it) }
                14 -> randomRouter()?.tableLink?.run { isPartitioned = !isPartitioned }
                15 -> partitionNetwork()
                16 -> fleet.network.heal()
                17 -> killRandomRouter()
                18 -> startRouterIfBelowLimit()
                19 -> randomRouter()?.dispatcher?.run { if (isPaused) resume() else pause() }
                20 -> topUp(budgets.random(random), random.nextLong(1, 50_000))
                21 -> fleet.table.isAvailable = !fleet.table.isAvailable
                22 -> injectMessageFaults()
                23 ->
                    randomRouter()?.tableLink?.run {
                        droppedResponseShare = random.nextDouble(0.6)
                        lateCommitShare = random.nextDouble(0.4)
                    }
            }
        }

        private fun startRequest() {
            val router = randomRouter() ?: return
            if (router.dispatcher.isPaused) return
            val budget = budgets.random(random)
            val id = RequestId("request${requestCount++}")
            val worstCaseTokens = random.nextLong(1, if (random.nextInt(6) == 0) 30_000 else 2_000)
            val outcome = router.ledger.reserveUpTo(id, budget, worstCaseTokens / 4, worstCaseTokens, fleet.clock.monotonicMs())
            if (outcome !is ReservationOutcome.Reserved) return
            reference.getValue(budget).used[id] = outcome.reservedTokens
            openRequests += OpenRequest(id, budget, router, outcome.reservedTokens)
        }

        /** Requests of a killed router are never finished; their whole reservations count as used, because an engine may have run them. */
        private fun finishRequest(request: OpenRequest) {
            if (request.router.identity in killedRouters || request.router.dispatcher.isPaused) return
            val nowMs = fleet.clock.monotonicMs()
            val ledger = request.router.ledger
            if (random.nextInt(4) == 0) {
                val extended = ledger.extend(request.id, random.nextLong(1, 2_000), nowMs)
                if (extended is ReservationOutcome.Reserved) request.reservedTokens = extended.reservedTokens
            }
            openRequests -= request
            if (random.nextInt(8) == 0) {
                ledger.release(request.id, nowMs)
                reference.getValue(request.budget).used -= request.id
                return
            }
            val bill = ledger.settle(request.id, charge(random.nextLong(request.reservedTokens + 1)), nowMs)
            assertEquals(bill, ledger.settle(request.id, charge(0), nowMs))
            settledBills[request.id] = bill
            reference.getValue(request.budget).used[request.id] = bill.charge.totalTokens
        }

        private suspend fun topUp(
            budget: BudgetId,
            tokens: Long,
        ) {
            val id = "topup${topUpCount++}"
            val first = fleet.administration.topUp(budget, id, tokens)
            fleet.administration.topUp(budget, id, tokens)
            if (first is BudgetChange.Applied) reference.getValue(budget).limitTokens += tokens
        }

        private fun partitionNetwork() {
            val names =
                fleet.routers.values
                    .map { it.identity.routerId }
                    .shuffled(random)
            fleet.network.partition(names.take(names.size / 2), names.drop(names.size / 2))
        }

        private suspend fun killRandomRouter() {
            if (fleet.routers.size <= 2) return
            val router = randomRouter() ?: return
            val replicaPeer = router.components.replicator.replicaPeer
            for (bill in router.components.bills.all()) replicaPeerByRequest[bill.bill.requestId] = replicaPeer.takeIf { bill.replicated }
            killedRouters += router.identity
            if (random.nextBoolean()) return router.killAndUnlist(random.nextLong(1, 180_000) / speedup)
            router.kill()
            fleet.start(router.identity.routerId.value, ++lastIncarnation, router.identity.vmId.value)
        }

        private fun startRouterIfBelowLimit() {
            if (fleet.routers.size < ROUTER_COUNT) fleet.start("router${ROUTER_COUNT + requestCount}", ++lastIncarnation)
        }

        private fun injectMessageFaults() {
            fleet.network.lossShare = random.nextDouble(0.5)
            fleet.network.duplicateShare = random.nextDouble(0.5)
            fleet.routers.values.forEach { it.messenger.delayedShare = random.nextDouble(0.5) }
        }

        private fun endFaults() {
            fleet.table.isAvailable = true
            fleet.network.heal()
            fleet.network.lossShare = 0.0
            for (router in fleet.routers.values) {
                router.dispatcher.resume()
                router.messenger.delayedShare = 0.0
                router.tableLink.run {
                    isPartitioned = false
                    droppedResponseShare = 0.0
                    lateCommitShare = 0.0
                }
            }
        }

        private suspend fun checkInvariants(context: String) {
            for ((budget, ledger) in reference) ledger.checkLimit("$context, budget ${budget.value}")
            if (!fleet.table.isAvailable) return
            for (budget in budgets) checkTableTotals(budget, context)
        }

        private suspend fun checkTableTotals(
            budget: BudgetId,
            context: String,
        ) {
            val status = fleet.status(budget)
            val accounted = status.unallocatedTokens + status.closedTokens + status.transferTokens + status.grantedTokens
            assertEquals(status.limitTokens, accounted, "$context: tokens of ${budget.value} do not add up to its limit")
            assertTrue(status.unallocatedTokens >= 0, "$context: unallocated tokens of ${budget.value} are negative")
            assertEquals(
                reference.getValue(budget).limitTokens,
                status.limitTokens,
                "$context: limit of ${budget.value} differs from its top-ups",
            )
            val writtenBills = fleet.writtenBills(budget)
            for ((id, bill) in writtenBills) {
                assertEquals(settledBills.getValue(id), bill, "$context: written bill differs from the settled one")
            }
        }

        private suspend fun checkNoReplicatedBillLost() {
            val written = budgets.flatMap { fleet.writtenBills(it).keys }.toSet()
            val missing = settledBills.keys - written
            val unrecoverable =
                missing.filter {
                    it in replicaPeerByRequest &&
                        (replicaPeerByRequest[it] == null || replicaPeerByRequest[it] in killedRouters)
                }
            assertEquals(emptySet(), missing - unrecoverable.toSet(), "seed $seed: replicated bills were not written")
        }

        private fun randomRouter() =
            fleet.routers.values
                .toList()
                .randomOrNull(random)
    }

    private class OpenRequest(
        val id: RequestId,
        val budget: BudgetId,
        val router: BudgetFleet.Router,
        var reservedTokens: Long,
    )

    private companion object {
        /** A short idle time makes routers return grants often, so that responses to returns are lost as well. */
        private val OPTIONS = BudgetOptions(expectedOutageMs = 600_000, idleReturnMs = 5_000)

        /** Options of routers that must survive network partitions of seconds. */
        private val SHORT_OUTAGE_OPTIONS =
            BudgetOptions(
                expectedOutageMs = 60_000,
                outageGraceMs = 12_000,
                driftMarginMs = 600,
                idleReturnMs = 5_000,
                replicaWriteDelayMs = 30_000,
                ceilingReservations = 3.0,
                ceilingInitialSpanMs = 4_000,
                sizesByTypicalReservation = true,
                holdsEqualShare = true,
                demandShare = 0.5,
                rateWindowMs = 10_000,
            )
        private const val SHORT_OUTAGE_SEED_OFFSET = 100
        private const val LATE_CEILING_SEED_OFFSET = 200
        private const val BUDGET_SHARE_SEED_OFFSET = 300
        private const val SEED_COUNT = 8
        private const val STEP_COUNT = 200
        private const val ROUTER_COUNT = 5
    }
}

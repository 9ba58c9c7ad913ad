package org.lycheemount.budget

import kotlinx.coroutines.delay
import org.lycheemount.common.BudgetId
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterIdentity
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Exact in-memory reference that the distributed ledger is compared with. */
internal class ReferenceLedger {
    var limitTokens = 0L
    val used = HashMap<RequestId, Long>()

    fun check(budget: String) = check(used.values.sum() <= limitTokens) { "$budget used ${used.values.sum()} of $limitTokens" }
}

/** Runs random requests and faults; each trace is reproducible by its seed. */
class RandomFaultTest {
    @Test
    fun `no fault overspends, duplicates a bill or loses one that two routers held`() {
        for (seed in 1..SEEDS) fleetTest(OPTIONS, seed) { Trace(it, seed).run() }
    }

    @Test
    fun `no fault overspends where ceilings grow, grants follow the demand and processes restart on their VMs`() {
        for (seed in 1..SEEDS) {
            fleetTest(
                SHORT_OUTAGE_OPTIONS,
                FIRST_SHORT_SEED + seed,
            ) { Trace(it, FIRST_SHORT_SEED + seed, speedup = 10).run() }
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
        private val open = mutableListOf<OpenRequest>()
        private val settled = HashMap<RequestId, Bill>()
        private val replicaPeerByRequest = HashMap<RequestId, RouterIdentity?>()
        private val dead = mutableSetOf<RouterIdentity>()
        private var requests = 0
        private var topUps = 0
        private var incarnations = 1L

        suspend fun run() {
            for (budget in budgets) {
                fleet.administration.create(budget)
                topUp(budget, 60_000)
            }
            repeat(ROUTERS) { fleet.start("router$it") }
            repeat(STEPS) { step ->
                performRandomStep()
                delay(random.nextLong(1, if (random.nextInt(20) == 0) 200_000 else 3_000) / speedup)
                checkInvariants("seed $seed step $step")
            }
            heal()
            delay(500_000 / speedup)
            checkInvariants("seed $seed healed")
            checkNoBillLost()
            open.toList().forEach { finish(it) }
            for (router in fleet.routers.values.toList()) {
                assertTrue(
                    router.maintenance.drain(),
                    "seed $seed drain ${router.dump.dumpState()}",
                )
            }
            checkInvariants("seed $seed drained")
        }

        private suspend fun performRandomStep() {
            when (random.nextInt(24)) {
                in 0..9 -> repeat(random.nextInt(1, 12)) { startRequest() }
                in 10..13 -> open.shuffled(random).take(6).forEach { finish(it) }
                14 -> anyRouter()?.link?.run { isPartitioned = !isPartitioned }
                15 -> cutNetwork()
                16 -> fleet.network.heal()
                17 -> killOne()
                18 -> startOne()
                19 -> anyRouter()?.dispatcher?.run { if (paused) resume() else pause() }
                20 -> topUp(budgets.random(random), random.nextLong(1, 50_000))
                21 -> fleet.table.isAvailable = !fleet.table.isAvailable
                22 -> loseMessages()
                23 ->
                    anyRouter()?.link?.run {
                        droppedResponseShare = random.nextDouble(0.6)
                        lateCommitShare = random.nextDouble(0.4)
                    }
            }
        }

        private fun startRequest() {
            val router = anyRouter() ?: return
            if (router.dispatcher.paused) return
            val budget = budgets.random(random)
            val id = RequestId("request${requests++}")
            val worstCaseTokens = random.nextLong(1, if (random.nextInt(6) == 0) 30_000 else 2_000)
            val outcome = router.ledger.reserveUpTo(id, budget, worstCaseTokens / 4, worstCaseTokens, fleet.clock.monotonicMs())
            if (outcome !is ReservationOutcome.Reserved) return
            reference.getValue(budget).used[id] = outcome.reservedTokens
            open += OpenRequest(id, budget, router, outcome.reservedTokens)
        }

        /** Requests of a killed router are never finished; their whole reservations count as used, because an engine may have run them. */
        private fun finish(request: OpenRequest) {
            if (request.router.identity in dead || request.router.dispatcher.paused) return
            val nowMs = fleet.clock.monotonicMs()
            val ledger = request.router.ledger
            if (random.nextInt(4) == 0) {
                val extended = ledger.extend(request.id, random.nextLong(1, 2_000), nowMs)
                if (extended is ReservationOutcome.Reserved) request.reserved = extended.reservedTokens
            }
            open -= request
            if (random.nextInt(8) == 0) {
                ledger.release(request.id, nowMs)
                reference.getValue(request.budget).used -= request.id
                return
            }
            val bill = ledger.settle(request.id, charge(random.nextLong(request.reserved + 1)), nowMs)
            assertEquals(bill, ledger.settle(request.id, charge(0), nowMs))
            settled[request.id] = bill
            reference.getValue(request.budget).used[request.id] = bill.charge.totalTokens
        }

        private suspend fun topUp(
            budget: BudgetId,
            tokens: Long,
        ) {
            val id = "topup${topUps++}"
            val first = fleet.administration.topUp(budget, id, tokens)
            fleet.administration.topUp(budget, id, tokens)
            if (first is BudgetChange.Applied) reference.getValue(budget).limitTokens += tokens
        }

        private fun cutNetwork() {
            val names =
                fleet.routers.values
                    .map { it.identity.routerId }
                    .shuffled(random)
            fleet.network.partition(names.take(names.size / 2), names.drop(names.size / 2))
        }

        private suspend fun killOne() {
            if (fleet.routers.size <= 2) return
            val router = anyRouter() ?: return
            val replicaPeer = router.components.replicator.replicaPeer
            for (bill in router.components.bills.all()) replicaPeerByRequest[bill.bill.requestId] = replicaPeer.takeIf { bill.replicated }
            dead += router.identity
            if (random.nextBoolean()) return router.killAndUnlist(random.nextLong(1, 180_000) / speedup)
            router.kill()
            fleet.start(router.identity.routerId.value, ++incarnations, router.identity.vmId.value)
        }

        private fun startOne() {
            if (fleet.routers.size < ROUTERS) fleet.start("router${ROUTERS + requests}", ++incarnations)
        }

        private fun loseMessages() {
            fleet.network.lossShare = random.nextDouble(0.5)
            fleet.network.duplicateShare = random.nextDouble(0.5)
            fleet.routers.values.forEach { it.messenger.lateShare = random.nextDouble(0.5) }
        }

        private fun heal() {
            fleet.table.isAvailable = true
            fleet.network.heal()
            fleet.network.lossShare = 0.0
            for (router in fleet.routers.values) {
                router.dispatcher.resume()
                router.messenger.lateShare = 0.0
                router.link.run {
                    isPartitioned = false
                    droppedResponseShare = 0.0
                    lateCommitShare = 0.0
                }
            }
        }

        private suspend fun checkInvariants(at: String) {
            for ((budget, ledger) in reference) ledger.check("$at ${budget.value}")
            if (!fleet.table.isAvailable) return
            for (budget in budgets) checkTable(budget, at)
        }

        private suspend fun checkTable(
            budget: BudgetId,
            at: String,
        ) {
            val status = fleet.status(budget)
            val accounted = status.unallocatedTokens + status.closedTokens + status.transferTokens + status.grantedTokens
            assertEquals(status.limitTokens, accounted, "$at sum of ${budget.value}")
            assertTrue(status.unallocatedTokens >= 0, "$at unallocated of ${budget.value}")
            assertEquals(reference.getValue(budget).limitTokens, status.limitTokens, "$at limit")
            for ((id, bill) in fleet.writtenBills(budget)) assertEquals(settled.getValue(id), bill, "$at bill")
        }

        private suspend fun checkNoBillLost() {
            val written = budgets.flatMap { fleet.writtenBills(it).keys }.toSet()
            val missing = settled.keys - written
            val excused =
                missing.filter {
                    it in replicaPeerByRequest &&
                        (replicaPeerByRequest[it] == null || replicaPeerByRequest[it] in dead)
                }
            assertEquals(emptySet(), missing - excused.toSet(), "seed $seed lost bills")
        }

        private fun anyRouter() =
            fleet.routers.values
                .toList()
                .randomOrNull(random)
    }

    private class OpenRequest(
        val id: RequestId,
        val budget: BudgetId,
        val router: BudgetFleet.Router,
        var reserved: Long,
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
        private const val FIRST_SHORT_SEED = 100
        private const val SEEDS = 8
        private const val STEPS = 200
        private const val ROUTERS = 5
    }
}

package org.lycheemount.budget

import kotlinx.coroutines.delay
import org.lycheemount.testing.FakeTableService
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Random histories in which the table comes back from older copies; each is reproducible by its seed. */
class RandomReturnTest {
    @Test
    fun `a budget is not overspent, whichever routers end, start or lose responses beside the returns`() {
        for (seed in 1..SEED_COUNT) {
            fleetTest(createGatewayBudgetOptions(), seed) { History(it, seed, hasEndings = true).run() }
        }
    }

    @Test
    fun `a budget is not overspent and stays usable if all routers go on running`() {
        for (seed in STEADY_SEED_OFFSET + 1..STEADY_SEED_OFFSET + SEED_COUNT) {
            fleetTest(createGatewayBudgetOptions(), seed) { History(it, seed, hasEndings = false).run() }
        }
    }

    private class OpenRequest(
        val id: String,
        val router: BudgetFleet.Router,
        val tokens: Long,
        val endsAtMs: Long,
    )

    private class History(
        private val fleet: BudgetFleet,
        private val seed: Int,
        private val hasEndings: Boolean,
    ) {
        private val random = Random(seed)
        private val limitTokens = random.nextLong(60_000, 600_000)
        private val copies = ArrayDeque<Pair<Long, FakeTableService.Copy>>()
        private val openRequests = mutableListOf<OpenRequest>()
        private var usedTokens = 0L
        private var requestCount = 0
        private var lastIncarnation = 1L
        private var backAtMs: Long? = null
        private val returnsAtMs = List(random.nextInt(1, 4)) { random.nextLong(8_000, RUN_MS) }.sorted().toMutableList()

        suspend fun run() {
            fleet.table.beginEra()
            fleet.createFundedBudget(limitTokens)
            repeat(random.nextInt(3, 8)) { startRouter("r$it", lastIncarnation, "vm$it") }
            while (fleet.clock.monotonicMs() < RUN_MS) {
                step()
                delay(random.nextLong(10, 60))
            }
            endFaults()
            repeat(SETTLING_MS / STEP_MS) {
                finishRequests()
                delay(STEP_MS.toLong())
            }
            val unusedTokens = limitTokens - usedTokens
            val servedTokens = spendRest()
            checkLimit("at the end")
            if (hasEndings) return
            val isUsable = servedTokens >= unusedTokens * USABLE_SHARE - REQUEST_TOKENS * fleet.routers.size
            assertTrue(isUsable, "seed $seed: $servedTokens of $unusedTokens unused tokens are usable")
        }

        private suspend fun step() {
            val nowMs = fleet.clock.monotonicMs()
            moveTable(nowMs)
            repeat(random.nextInt(3)) { startRequest(nowMs) }
            finishRequests()
            when (random.nextInt(120)) {
                0 -> if (hasEndings) endRouter()
                1 -> startRouter("added$requestCount", ++lastIncarnation, "vm-added$requestCount")
                2 -> randomRouter().tableLink.isPartitioned = true
                3, 4 -> fleet.routers.values.forEach { it.tableLink.isPartitioned = false }
                5 ->
                    randomRouter().tableLink.run {
                        droppedResponseShare = random.nextDouble(0.4)
                        lateCommitShare = random.nextDouble(0.3)
                    }
                6 -> fleet.network.lossShare = random.nextDouble(0.4)
            }
            checkLimit("at $nowMs ms")
        }

        private fun moveTable(nowMs: Long) {
            val back = backAtMs
            val isCopyDue = nowMs - (copies.lastOrNull()?.first ?: Long.MIN_VALUE / 2) >= COPY_INTERVAL_MS
            if (back == null && isCopyDue) copies += nowMs to fleet.table.copy()
            while (copies.size > 1 && nowMs - copies[1].first > MAX_COPY_AGE_MS) copies.removeFirst()
            if (back != null && nowMs >= back) {
                val ageMs = random.nextLong(MIN_COPY_AGE_MS, MAX_COPY_AGE_MS)
                fleet.table.comeBackFrom((copies.lastOrNull { nowMs - it.first >= ageMs } ?: copies.first()).second)
                fleet.table.isAvailable = true
                copies.clear()
                backAtMs = null
            } else if (back == null && returnsAtMs.isNotEmpty() && nowMs >= returnsAtMs.first()) {
                returnsAtMs.removeFirst()
                fleet.table.isAvailable = false
                backAtMs = nowMs + random.nextLong(200, 1_500)
            }
        }

        private fun startRequest(nowMs: Long) {
            val router = randomRouter()
            val tokens = random.nextLong(50, 2_000)
            val id = "request${requestCount++}"
            if (router.reserve(id, tokens) !is ReservationOutcome.Reserved) return
            usedTokens += tokens
            openRequests += OpenRequest(id, router, tokens, nowMs + random.nextLong(20, 800))
        }

        /** Requests of an ended router stay counted in full, since a backend server may have run them. */
        private fun finishRequests() {
            val nowMs = fleet.clock.monotonicMs()
            for (request in openRequests.filter { it.endsAtMs <= nowMs }) {
                openRequests -= request
                if (fleet.routers[request.router.identity.routerId.value] !== request.router) continue
                val charged = random.nextLong(request.tokens / 2, request.tokens + 1)
                request.router.settle(request.id, charged)
                usedTokens -= request.tokens - charged
            }
        }

        private fun startRouter(
            name: String,
            incarnation: Long,
            vmName: String,
        ) {
            if (fleet.routers.size >= MAX_ROUTERS) return
            fleet.start(name, incarnation, vmName).maintenance.prefetchGrants(setOf(BUDGET))
        }

        private fun endRouter() {
            if (fleet.routers.size <= 2) return
            val router = randomRouter()
            router.kill()
            val identity = router.identity
            if (random.nextBoolean()) startRouter(identity.routerId.value, ++lastIncarnation, identity.vmId.value)
        }

        private fun endFaults() {
            fleet.network.lossShare = 0.0
            for (router in fleet.routers.values) {
                router.tableLink.run {
                    isPartitioned = false
                    droppedResponseShare = 0.0
                    lateCommitShare = 0.0
                }
            }
            if (!fleet.table.isAvailable) fleet.table.comeBackFrom(copies.first().second)
            fleet.table.isAvailable = true
        }

        /** Spends at all routers until none has served a request for some time. */
        private suspend fun spendRest(): Long {
            val before = usedTokens
            var idleMs = 0
            while (idleMs < IDLE_MS) {
                var isServed = false
                for (router in fleet.routers.values) {
                    val id = "rest${requestCount++}"
                    if (router.reserve(id, REQUEST_TOKENS) !is ReservationOutcome.Reserved) continue
                    router.settle(id, REQUEST_TOKENS)
                    usedTokens += REQUEST_TOKENS
                    isServed = true
                }
                delay(STEP_MS.toLong())
                idleMs = if (isServed) 0 else idleMs + STEP_MS
            }
            return usedTokens - before
        }

        private fun checkLimit(context: String) =
            assertTrue(usedTokens <= limitTokens, "seed $seed, $context: $usedTokens of $limitTokens tokens are used")

        private fun randomRouter() = fleet.routers.values.random(random)
    }

    private companion object {
        private const val SEED_COUNT = 200
        private const val STEADY_SEED_OFFSET = 1_000
        private const val RUN_MS = 40_000L
        private const val SETTLING_MS = 40_000
        private const val STEP_MS = 50
        private const val IDLE_MS = 6_000
        private const val REQUEST_TOKENS = 300L
        private const val MAX_ROUTERS = 7
        private const val COPY_INTERVAL_MS = 200L
        private const val MIN_COPY_AGE_MS = 500L
        private const val MAX_COPY_AGE_MS = 10_000L
        private const val USABLE_SHARE = 0.9
    }
}

package org.lycheemount.budget

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Nested
import org.lycheemount.common.BudgetId
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction
import org.lycheemount.testing.FakeTableService
import org.lycheemount.testing.SerialPartitionTable
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** A table that comes back from an older copy, beside routers that hold more than the restored rows show. */
class RestoredTableTest {
    private val options = createGatewayBudgetOptions()
    private var requestCount = 0

    private suspend fun startRouters(
        fleet: BudgetFleet,
        count: Int,
        tokens: Long = PREPAY,
    ) {
        fleet.table.beginEra()
        fleet.createFundedBudget(tokens)
        repeat(count) { startWithGrant(fleet, "r$it") }
        delay(3_000)
    }

    private fun startWithGrant(
        fleet: BudgetFleet,
        name: String,
        incarnation: Long = 1,
        vmName: String = "vm-$name-$incarnation",
    ): BudgetFleet.Router = fleet.start(name, incarnation, vmName).also { it.maintenance.prefetchGrants(setOf(BUDGET)) }

    /** Starts [countBefore] routers, copies the table, and starts another router that takes its grant after the copy. */
    private suspend fun startOneAfterCopy(
        fleet: BudgetFleet,
        countBefore: Int = 3,
    ): Pair<FakeTableService.Copy, BudgetFleet.Router> {
        startRouters(fleet, countBefore)
        val copy = fleet.table.copy()
        val added = startWithGrant(fleet, "added")
        delay(1_000)
        return copy to added
    }

    /** Spends at all routers in turn until none has served a request for 5 s. Returns the tokens used. */
    private suspend fun spendAll(
        fleet: BudgetFleet,
        routers: List<BudgetFleet.Router> = fleet.routers.values.toList(),
    ): Long {
        var used = 0L
        var idleMs = 0L
        while (idleMs < 5_000) {
            val served = routers.count { it.spendNow(REQUEST_TOKENS) }
            used += served * REQUEST_TOKENS
            delay(PACE_MS)
            idleMs = if (served > 0) 0 else idleMs + PACE_MS
        }
        return used
    }

    /** Serves up to [count] requests and returns the tokens used. */
    private suspend fun spend(
        router: BudgetFleet.Router,
        count: Int,
    ): Long {
        var used = 0L
        repeat(count) {
            if (router.spendNow(REQUEST_TOKENS)) used += REQUEST_TOKENS
            delay(PACE_MS)
        }
        return used
    }

    private fun BudgetFleet.Router.spendNow(tokens: Long): Boolean {
        val id = "request${requestCount++}"
        if (reserve(id, tokens) !is ReservationOutcome.Reserved) return false
        settle(id, tokens)
        return true
    }

    private suspend fun comeBackFrom(
        fleet: BudgetFleet,
        copy: FakeTableService.Copy,
        awayMs: Long = 1_000,
    ) {
        fleet.table.isAvailable = false
        delay(awayMs)
        fleet.table.comeBackFrom(copy)
        fleet.table.isAvailable = true
    }

    private suspend fun assertAddsUp(fleet: BudgetFleet) {
        val status = fleet.status()
        val sum = status.unallocatedTokens + status.closedTokens + status.transferTokens + status.grantedTokens
        assertEquals(status.limitTokens, sum)
    }

    @Nested
    inner class `a router that took its grant after the copy was made` {
        @Test
        fun `claims it again, guarding against tokens that others are granted a second time`() =
            fleetTest(options) { fleet ->
                val (copy, added) = startOneAfterCopy(fleet)
                var used = spend(added, 80)
                comeBackFrom(fleet, copy)
                used += spendAll(fleet)
                assertTrue(used <= PREPAY, "$used of $PREPAY tokens used")
                assertTrue(used >= PREPAY * 9 / 10, "only $used of $PREPAY tokens used")
                assertAddsUp(fleet)
            }

        @Test
        fun `keeps the rest of the budget from being granted while it is cut off from the table`() =
            fleetTest(options) { fleet ->
                val (copy, added) = startOneAfterCopy(fleet)
                added.tableLink.isPartitioned = true
                comeBackFrom(fleet, copy)
                var used = spendAll(fleet)
                assertTrue(used <= PREPAY, "$used of $PREPAY tokens used")
                added.tableLink.isPartitioned = false
                delay(40_000)
                used += spendAll(fleet)
                assertTrue(used <= PREPAY, "$used of $PREPAY tokens used")
                assertTrue(used >= PREPAY * 9 / 10, "only $used of $PREPAY tokens used")
            }

        @Test
        fun `keeps its tokens charged if it has ended when the table comes back`() =
            fleetTest(options) { fleet ->
                val (copy, added) = startOneAfterCopy(fleet)
                var used = spend(added, 80)
                added.kill()
                comeBackFrom(fleet, copy)
                used += spendAll(fleet)
                assertTrue(used <= PREPAY, "$used of $PREPAY tokens used")
                assertAddsUp(fleet)
            }
    }

    @Nested
    inner class `a router that returned its grant after the copy was made` {
        @Test
        fun `returns it again, guarding against tokens that stay charged to a grant that nobody holds`() =
            fleetTest(options.copy(idleReturnMs = 4_000)) { fleet ->
                startRouters(fleet, 2)
                val idle = fleet.routers.getValue("r0")
                var used = spend(idle, 10)
                val copy = fleet.table.copy()
                // The other router keeps its grant in use.
                used += spend(fleet.routers.getValue("r1"), 120)
                assertTrue(
                    idle.components.accounts
                        .find(BUDGET)
                        ?.grant == null,
                    "the grant was not returned",
                )
                comeBackFrom(fleet, copy)
                used += spendAll(fleet)
                assertTrue(used <= PREPAY, "$used of $PREPAY tokens used")
                assertTrue(used >= PREPAY * 9 / 10, "only $used of $PREPAY tokens used")
                assertAddsUp(fleet)
            }
    }

    @Nested
    inner class `a budget of which no router held tokens when the copy was made` {
        @Test
        fun `is granted again, guarding against tokens that stay set aside because nobody was seen to hold any`() =
            fleetTest(options) { fleet ->
                fleet.table.beginEra()
                fleet.createFundedBudget(PREPAY)
                repeat(2) { fleet.start("r$it") }
                delay(20_000)
                comeBackFrom(fleet, fleet.table.copy())
                delay(5_000)
                fleet.routers.values.forEach { it.maintenance.prefetchGrants(setOf(BUDGET)) }
                delay(5_000)
                val used = spendAll(fleet)
                assertTrue(used in PREPAY * 9 / 10..PREPAY, "$used of $PREPAY tokens used")
            }
    }

    @Nested
    inner class `a budget whose tokens stay set aside` {
        @Test
        fun `grants what is added to it later, guarding against a raised prepay that nobody can use`() =
            fleetTest(options) { fleet ->
                val (copy, added) = startOneAfterCopy(fleet)
                var used = spend(added, 80)
                added.kill()
                comeBackFrom(fleet, copy)
                used += spendAll(fleet)
                delay(100_000)
                fleet.administration.topUp(BUDGET, "later", PREPAY)
                val usedLater = spendAll(fleet)
                assertTrue(usedLater >= PREPAY * 9 / 10, "only $usedLater of $PREPAY added tokens used")
                assertTrue(used + usedLater <= PREPAY * 2, "${used + usedLater} of ${PREPAY * 2} tokens used")
            }
    }

    @Nested
    inner class `a router that has closed the grants of many ended routers` {
        @Test
        fun `closes them again, guarding against a transaction with more entries than the table takes`() =
            fleetTest(options) { fleet ->
                startRouters(fleet, 1)
                val holder = fleet.routers.getValue("r0")
                val copy = fleet.table.copy()
                val account = holder.components.accounts.getOrCreate(BUDGET)
                repeat(CLOSING_COUNT) {
                    val row = GrantRow("ended$it", BUDGET, holder.identity, grantedTokens = 10, closed = true, chargedTokens = 10)
                    account.recordClosing(row, "closing$it", fleet.clock.monotonicMs())
                }
                comeBackFrom(fleet, copy)
                delay(5_000)
                assertEquals(CLOSING_COUNT, fleet.status().holders.count { it.grantId.startsWith("ended") })
                assertTrue(fleet.table.largestTransaction <= MAX_ENTRIES, "a transaction has ${fleet.table.largestTransaction} entries")
                assertAddsUp(fleet)
            }
    }

    @Nested
    inner class `a fleet of 95 routers` {
        @Test
        fun `has claimed all grants some seconds after the return, guarding against routers that keep each other from committing`() =
            fleetTest(options, serveTable = { table, clock -> SerialPartitionTable(table, clock, PARTITION_PER_SECOND) }) { fleet ->
                fleet.table.beginEra()
                val budgets = (0 until BUDGET_COUNT).map { BudgetId("b$it") }
                for (budget in budgets) fleet.createFundedBudget(10_000_000, budgetId = budget)
                repeat(95) {
                    fleet.start("r$it").maintenance.prefetchGrants(budgets.toSet())
                    delay(100)
                }
                delay(20_000)
                comeBackFrom(fleet, fleet.table.copy())
                delay(RECOVERY_MS)
                val unclaimed =
                    fleet.routers.values.sumOf {
                        it.components.accounts
                            .all()
                            .count { account -> account.claimedEra != 2L }
                    }
                assertEquals(0, unclaimed, "budgets that a router has not claimed yet")
            }
    }

    @Nested
    inner class `a process that was restarted after the copy was made` {
        @Test
        fun `reclaims the grants of its predecessor again, guarding against a budget that stays set aside`() =
            fleetTest(options) { fleet ->
                startRouters(fleet, 3)
                val copy = fleet.table.copy()
                val first = fleet.routers.getValue("r0")
                var used = spend(first, 20)
                first.kill()
                delay(1_000)
                startWithGrant(fleet, "r0", incarnation = 2, vmName = first.identity.vmId.value)
                delay(3_000)
                comeBackFrom(fleet, copy)
                delay(5_000)
                used += spendAll(fleet)
                assertTrue(used <= PREPAY, "$used of $PREPAY tokens used")
                assertEquals(0, setAsideTokens(fleet))
                assertAddsUp(fleet)
            }
    }

    @Nested
    inner class `a table whose time of day went back with its rows` {
        @Test
        fun `is not overspent when a router ends, guarding against ceilings that are taken at a time before the last contact`() =
            fleetTest(options) { fleet ->
                startRouters(fleet, 3)
                fleet.table.timeStepMs = -60_000
                comeBackFrom(fleet, fleet.table.copy())
                delay(20_000)
                val ended = fleet.routers.getValue("r0")
                ended.tableLink.isPartitioned = true
                var used = spend(ended, 120)
                ended.kill()
                startWithGrant(fleet, "r0", incarnation = 2, vmName = ended.identity.vmId.value)
                delay(5_000)
                used += spendAll(fleet)
                assertTrue(used <= PREPAY, "$used of $PREPAY tokens used")
                assertAddsUp(fleet)
            }
    }

    @Nested
    inner class `a table that comes back several times` {
        @Test
        fun `is not overspent when a router misses an era`() =
            fleetTest(options) { fleet ->
                val (copy, added) = startOneAfterCopy(fleet)
                var used = spend(added, 40)
                added.tableLink.isPartitioned = true
                comeBackFrom(fleet, copy)
                used += spend(fleet.routers.getValue("r1"), 20)
                val second = fleet.table.copy()
                used += spend(fleet.routers.getValue("r2"), 20)
                comeBackFrom(fleet, second)
                delay(2_000)
                added.tableLink.isPartitioned = false
                delay(40_000)
                used += spendAll(fleet)
                assertTrue(used <= PREPAY, "$used of $PREPAY tokens used")
                assertTrue(used >= PREPAY * 9 / 10, "only $used of $PREPAY tokens used")
                assertAddsUp(fleet)
            }
    }

    @Nested
    inner class `a transaction of an earlier era` {
        @Test
        fun `does not take effect after the change is known, guarding against versions that are given out again`() =
            fleetTest(options) { fleet ->
                startRouters(fleet, 2)
                val copy = fleet.table.copy()
                comeBackFrom(fleet, copy)
                delay(2_000)
                val late =
                    TableTransaction("late", listOf(RowCheck("other", 0)), listOf(writeRow("other", 1)))
                        .checkedInEra(StoreEra(1))
                val outcome = assertIs<TableResult.Response<*>>(fleet.table.commit(late)).value
                assertIs<CommitOutcome.Conflict>(outcome)
            }
    }

    @Nested
    inner class `a table without a change of its era` {
        @Test
        fun `is called as often as one that states no era, guarding against a price in calm`() {
            val calls = listOf(false, true).map { statesEra -> callsInCalm(statesEra) }
            assertEquals(calls[0], calls[1])
        }

        private fun callsInCalm(statesEra: Boolean): List<Int> {
            var calls = emptyList<Int>()
            fleetTest(options) { fleet ->
                if (statesEra) fleet.table.beginEra()
                fleet.createFundedBudget(PREPAY)
                repeat(3) { startWithGrant(fleet, "r$it") }
                repeat(300) {
                    fleet.routers.values.forEach { router -> router.spendNow(REQUEST_TOKENS) }
                    delay(PACE_MS)
                }
                calls = fleet.routers.values.map { it.tableLink.callCount }
            }
            return calls
        }
    }

    private suspend fun setAsideTokens(fleet: BudgetFleet): Long {
        val read =
            assertIs<TableResult.Response<TableSnapshot>>(
                fleet.table.read(listOf(budgetKey(BUDGET))),
            )
        return decodeRow<BudgetRow>(
            read.value.rows
                .single()
                .value,
        ).setAsideTokens
    }

    private companion object {
        private const val PREPAY = 120_000L
        private const val REQUEST_TOKENS = 500L
        private const val PACE_MS = 50L
        private const val BUDGET_COUNT = 10

        /** Transactions that a partition of the platform's store handles. */
        private const val PARTITION_PER_SECOND = 300

        /** Time after an outage from which what is owed is served as before. */
        private const val RECOVERY_MS = 12_000L
        private const val CLOSING_COUNT = 90

        /** Entries that a transaction of the platform's store may have, less one for the id of the transaction as check and write. */
        private const val MAX_ENTRIES = 98
    }
}

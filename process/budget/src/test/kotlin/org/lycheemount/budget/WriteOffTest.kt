package org.lycheemount.budget

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.common.BudgetId
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.TableTransaction
import org.lycheemount.testing.FakeClock
import org.lycheemount.testing.FakeTableService
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class WriteOffTest {
    private val table = FakeTableService(FakeClock())
    private var transactionCount = 0
    private val administration = createBudgetAdministration(table) { "t${++transactionCount}" }
    private val budgetId = BudgetId("b")
    private val holder = RouterIdentity(RouterId("r"), VmId("v"), RegionId("g"), ZoneId("z"), incarnation = 1)

    @Nested
    inner class `a grant whose holder may still be running` {
        @Test
        fun `is charged in full and only once, and none of its tokens can be granted again`() =
            runTest {
                storeGrant(GrantRow("g", budgetId, holder, grantedTokens = 400, settledTokens = 50, sentTokens = 30, receivedTokens = 10))
                table.dropNextResponses = 1

                val first = administration.writeOff(budgetId, "g")
                val repeated = administration.writeOff(budgetId, "g")

                assertEquals(BudgetChange.Applied(1_000, repeated = false), first)
                assertEquals(BudgetChange.Applied(1_000, repeated = true), repeated)
                val status = assertIs<BudgetStatusResult.Found>(administration.status(budgetId)).status
                assertEquals(0, status.grantedTokens)
                assertEquals(600, status.unallocatedTokens)
                assertEquals(380, status.closedTokens)
                assertEquals(1_000, status.unallocatedTokens + status.closedTokens + status.transferTokens)
            }

        @Test
        fun `is unchanged by a write-off of an unknown grant, which is reported as not found`() =
            runTest {
                storeGrant(GrantRow("g", budgetId, holder, grantedTokens = 400))

                assertEquals(BudgetChange.NotFound, administration.writeOff(budgetId, "other"))

                assertEquals(400, assertIs<BudgetStatusResult.Found>(administration.status(budgetId)).status.grantedTokens)
            }
    }

    private suspend fun storeGrant(grant: GrantRow) {
        val budget = BudgetRow(limitTokens = 1_000, unallocatedTokens = 1_000 - grant.grantedTokens)
        val writes = listOf(writeRow(budgetKey(budgetId), budget), writeRow(grantKey(budgetId, grant.grantId), grant))
        table.commit(TableTransaction("setup", emptyList(), writes))
    }
}

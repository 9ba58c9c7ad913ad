package org.lycheemount.budget

import org.junit.jupiter.api.Nested
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import kotlin.test.Test
import kotlin.test.assertEquals

class BudgetSharesTest {
    private fun grantRow(
        name: String,
        grantedTokens: Long,
    ) = GrantRow(
        grantId = name,
        budgetId = BUDGET,
        holder = RouterIdentity(RouterId(name), VmId(name), RegionId("region"), ZoneId("zone"), 1),
        grantedTokens = grantedTokens,
    )

    private fun sumOf(shares: BudgetShares) =
        shares.run { unallocatedTokens + billedTokens + unbilledTokens + inTransferTokens + openGrants.sumOf { it.heldTokens } }

    @Nested
    inner class `a budget with open and closed grants and a transfer between them` {
        private val ended = grantRow("ended", 400).copy(settledTokens = 100, sentTokens = 50)
        private val open = grantRow("open", 300).copy(settledTokens = 120, receivedTokens = 30)
        private val budget = BudgetRow(limitTokens = 1_000, unallocatedTokens = 300)

        @Test
        fun `has shares that add up to its limit, guarding against tokens that no figure shows`() {
            val (changed, closed) = closeGrant(budget, ended, reclaimedTokens = 200)

            val shares = budgetShares(changed, listOf(closed, open))

            assertEquals(1_000, sumOf(shares))
            assertEquals(220, shares.billedTokens)
            assertEquals(50, shares.unbilledTokens)
            assertEquals(changed.unbilledTokens, shares.unbilledTokens)
            assertEquals(20, shares.inTransferTokens)
            assertEquals(210, open.heldTokens)
        }
    }

    @Nested
    inner class `a transfer that its sender did not record before it ended` {
        private val ended = grantRow("ended", 400).copy(settledTokens = 100)
        private val receiver = grantRow("receiver", 0).copy(receivedTokens = 150)
        private val budget = BudgetRow(limitTokens = 400, unallocatedTokens = 0)

        @Test
        fun `leaves what its receiver holds, guarding against 402 while a router has tokens`() {
            // The ceiling that the sender is charged up to covers what it sent.
            val (changed, closed) = closeGrant(budget, ended, reclaimedTokens = 100)

            val shares = budgetShares(changed, listOf(closed, receiver))

            assertEquals(400, sumOf(shares))
            assertEquals(-150, shares.inTransferTokens)
            assertEquals(250, shares.remainingTokens)
        }
    }
}

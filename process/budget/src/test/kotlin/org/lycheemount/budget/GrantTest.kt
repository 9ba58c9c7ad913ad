package org.lycheemount.budget

import org.junit.jupiter.api.Nested
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import kotlin.test.Test
import kotlin.test.assertEquals

class GrantTest {
    private val holder = RouterIdentity(RouterId("a"), VmId("vm"), RegionId("region"), ZoneId("zone"), 1)

    private fun row(ceilingTokens: Long) =
        GrantRow("g", BUDGET, holder, grantedTokens = 1_000, ceilingTokens = ceilingTokens, holderTransactionId = "t$ceilingTokens")

    private fun grantWithCeiling(
        ceilingTokens: Long,
        boundEndsAtMs: Long,
    ) = Grant(BUDGET, "g").apply {
        propose(row(ceilingTokens), contactAtMs = 0, outageGraceMs = boundEndsAtMs)
        confirm(version = 1, nowMs = 0)
    }

    @Nested
    inner class `a row in doubt` {
        @Test
        fun `with a lower ceiling bounds the use at once, guarding against a write that took effect unseen`() {
            val grant = grantWithCeiling(ceilingTokens = 800, boundEndsAtMs = 100)

            grant.propose(row(300), contactAtMs = 50, outageGraceMs = 100)

            assertEquals(300, grant.usableTokens(50))
            assertEquals(300, grant.usableTokens(149))
            assertEquals(1_000, grant.usableTokens(150))
        }

        @Test
        fun `with a higher ceiling does not raise the bound, guarding against a write that had no effect`() {
            val grant = grantWithCeiling(ceilingTokens = 300, boundEndsAtMs = 100)

            grant.propose(row(800), contactAtMs = 0, outageGraceMs = 50)

            assertEquals(300, grant.usableTokens(99))
            assertEquals(1_000, grant.usableTokens(100))
        }

        @Test
        fun `withholds returned tokens until it is decided, guarding against tokens spent here and granted elsewhere`() {
            val grant = grantWithCeiling(ceilingTokens = 900, boundEndsAtMs = 100)

            grant.propose(row(900).copy(grantedTokens = 400), contactAtMs = 0, outageGraceMs = 100)

            assertEquals(400, grant.usableTokens(50))
            grant.clearPendingRow()
            assertEquals(900, grant.usableTokens(50))
        }
    }

    @Nested
    inner class `a ceiling that grows` {
        private val grant =
            Grant(BUDGET, "g").apply {
                propose(row(200).copy(ceilingTokensPerMs = 2.0), contactAtMs = 1_000, outageGraceMs = 300)
                confirm(version = 1, nowMs = 1_005)
            }

        @Test
        fun `bounds the use by the time since the contact, guarding against a refusal while the outage grace runs`() {
            assertEquals(200, grant.usableTokens(1_000))
            assertEquals(400, grant.usableTokens(1_100))
            assertEquals(1_000, grant.usableTokens(1_300))
        }

        @Test
        fun `does not shrink below its start, guarding against times that were read before the contact`() {
            assertEquals(200, grant.usableTokens(990))
        }
    }

    @Nested
    inner class `a repeated transfer` {
        private val inbox = TransferInbox()
        private var applied = 0

        private fun deliver(
            sequence: Long,
            lowestOpen: Long,
        ) = inbox.decideOnce(holder, TokenMessage.Transfer(sequence, lowestOpen, BUDGET, 10, 1)) {
            applied++
            TransferReply.APPLIED
        }

        @Test
        fun `is applied once in any order, guarding against tokens made by duplicated or late messages`() {
            deliver(1, 0)
            deliver(0, 0)
            deliver(1, 0)
            deliver(2, 2)
            deliver(0, 0)
            deliver(1, 0)

            assertEquals(3, applied)
        }

        @Test
        fun `stays refused once it was, guarding against tokens taken back by the donor and applied later`() {
            val refused = inbox.decideOnce(holder, TokenMessage.Transfer(0, 0, BUDGET, 10, 1)) { TransferReply.REFUSED }

            val repeated = deliver(0, 0)

            assertEquals(refused, repeated)
            assertEquals(0, applied)
        }
    }
}

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

    private fun grantRow(ceilingTokens: Long) =
        GrantRow("g", BUDGET, holder, grantedTokens = 1_000, ceilingTokens = ceilingTokens, holderTransactionId = "t$ceilingTokens")

    private fun grantWithCeiling(
        ceilingTokens: Long,
        boundEndsAtMs: Long,
    ) = Grant(BUDGET, "g").apply {
        propose(grantRow(ceilingTokens), contactAtMs = 0, outageGraceMs = boundEndsAtMs)
        confirm(version = 1, nowMs = 0)
    }

    @Nested
    inner class `a ceiling that rises when the outage grace ends` {
        private val row = grantRow(100).copy(graceEndTokens = 500, lateCeilingTokensPerMs = 0.0)

        @Test
        fun `bounds its holder and its successor alike, guarding against tokens that are used and reclaimed`() {
            val grant = Grant(BUDGET, "g")

            grant.propose(row, contactAtMs = 0, outageGraceMs = 50)
            grant.confirm(version = 1, nowMs = 0)

            assertEquals(100, grant.usableTokens(49))
            assertEquals(600, grant.usableTokens(50))
            assertEquals(100, row.ceilingAfterTokens(elapsedMs = 49, outageGraceMs = 50))
            assertEquals(600, row.ceilingAfterTokens(elapsedMs = 50, outageGraceMs = 50))
        }
    }

    @Nested
    inner class `a pending row` {
        @Test
        fun `with a lower ceiling bounds the use at once, guarding against a committed write whose response is lost`() {
            val grant = grantWithCeiling(ceilingTokens = 800, boundEndsAtMs = 100)

            grant.propose(grantRow(300), contactAtMs = 50, outageGraceMs = 100)

            assertEquals(300, grant.usableTokens(50))
            assertEquals(300, grant.usableTokens(149))
            assertEquals(1_000, grant.usableTokens(150))
        }

        @Test
        fun `with a higher ceiling does not raise the bound, guarding against a write that is never committed`() {
            val grant = grantWithCeiling(ceilingTokens = 300, boundEndsAtMs = 100)

            grant.propose(grantRow(800), contactAtMs = 0, outageGraceMs = 50)

            assertEquals(300, grant.usableTokens(99))
            assertEquals(1_000, grant.usableTokens(100))
        }

        @Test
        fun `makes returned tokens unusable until its outcome is known, guarding against tokens that two routers spend`() {
            val grant = grantWithCeiling(ceilingTokens = 900, boundEndsAtMs = 100)

            grant.propose(grantRow(900).copy(grantedTokens = 400), contactAtMs = 0, outageGraceMs = 100)

            assertEquals(400, grant.usableTokens(50))
            grant.clearPendingRow()
            assertEquals(900, grant.usableTokens(50))
        }
    }

    @Nested
    inner class `a ceiling that grows over time` {
        private val grant =
            Grant(BUDGET, "g").apply {
                propose(grantRow(200).copy(ceilingTokensPerMs = 2.0), contactAtMs = 1_000, outageGraceMs = 300)
                confirm(version = 1, nowMs = 1_005)
            }

        @Test
        fun `allows more use the longer ago the contact was, guarding against refusals before the end of the outage grace`() {
            assertEquals(200, grant.usableTokens(1_000))
            assertEquals(400, grant.usableTokens(1_100))
            assertEquals(1_000, grant.usableTokens(1_300))
        }

        @Test
        fun `keeps its initial value before the contact, guarding against a time that was read before the contact was recorded`() {
            assertEquals(200, grant.usableTokens(990))
        }
    }

    @Nested
    inner class `a ceiling that binds after the outage grace` {
        private val grant =
            Grant(BUDGET, "g").apply {
                propose(grantRow(200).copy(ceilingTokensPerMs = 1.0, lateCeilingTokensPerMs = 0.5), contactAtMs = 0, outageGraceMs = 100)
                confirm(version = 1, nowMs = 0)
            }

        @Test
        fun `grows at its late rate, guarding against a grant that nothing bounds in a long outage`() {
            assertEquals(300, grant.usableTokens(100))
            assertEquals(400, grant.usableTokens(300))
            assertEquals(1_000, grant.usableTokens(10_000))
        }

        @Test
        fun `is raised by tokens from a peer, guarding against refusals while peers lend what they do not need`() {
            grant.receive(150)

            assertEquals(450, grant.usableTokens(100))
        }
    }

    @Nested
    inner class `a transfer that is delivered repeatedly` {
        private val inbox = TransferInbox()
        private var appliedCount = 0

        private fun deliver(
            sequence: Long,
            lowestOpenSequence: Long,
        ) = inbox.decideOnce(holder, TokenMessage.Transfer(sequence, lowestOpenSequence, BUDGET, 10, 1)) {
            appliedCount++
            TransferReply.APPLIED
        }

        @Test
        fun `is applied once in any order of delivery, guarding against tokens created by duplicate or late messages`() {
            deliver(1, 0)
            deliver(0, 0)
            deliver(1, 0)
            deliver(2, 2)
            deliver(0, 0)
            deliver(1, 0)

            assertEquals(3, appliedCount)
        }

        @Test
        fun `is refused again after a refusal, guarding against tokens that are restored to the sender and applied later`() {
            val refused = inbox.decideOnce(holder, TokenMessage.Transfer(0, 0, BUDGET, 10, 1)) { TransferReply.REFUSED }

            val repeated = deliver(0, 0)

            assertEquals(refused, repeated)
            assertEquals(0, appliedCount)
        }
    }
}

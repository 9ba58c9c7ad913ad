package org.lycheemount.common

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** In virtual time. */
class MemoryBudgetTest {
    private val budget = MemoryBudget(CAPACITY)

    private fun holding(
        bytes: Long,
        atMs: Long = 0,
    ) = budget.open(atMs).also { assertEquals(MemoryGrant.GRANTED, it.request(bytes, atMs)) }

    @Nested
    inner class `a budget` {
        @Test
        fun `is never exceeded, guarding against bodies that fill the heap`() {
            val accounts = List(50) { budget.open(0) }
            for (turn in 0L..1_000L) {
                accounts.forEach { it.request(100_000, turn) }
                assertTrue(budget.usage.usedBytes <= CAPACITY)
            }
        }

        @Test
        fun `serves one request at a time that is larger than the budget`() {
            val account = budget.open(0)

            assertEquals(MemoryGrant.GRANTED, account.request(2 * CAPACITY, 0))
            assertEquals(MemoryGrant.WAITING, budget.open(0).request(1, 0))
        }

        @Test
        fun `is empty once all accounts are released`() {
            val accounts = List(20) { budget.open(it.toLong()) }
            accounts.forEach { it.request(1_000_000, 100) }
            accounts.forEach {
                it.release()
                it.release()
            }

            assertEquals(0, budget.usage.usedBytes)
            assertEquals(0, budget.usage.waitingAccounts)
        }

        @Test
        fun `grants small bodies while large ones wait, guarding against ordinary callers that are shut out`() {
            holding(7 * CAPACITY / 8)
            assertEquals(MemoryGrant.WAITING, budget.open(0).request(1_000_000, 0))

            assertEquals(MemoryGrant.GRANTED, budget.open(0).request(10_000, 0))
        }
    }

    @Nested
    inner class `an account that waits` {
        @Test
        fun `is granted once another one ends, the oldest first`() {
            val first = holding(5_000_000)
            val older = budget.open(1)
            val younger = budget.open(2)
            assertEquals(MemoryGrant.WAITING, older.request(5_000_000, 10))
            assertEquals(MemoryGrant.WAITING, younger.request(5_000_000, 10))
            first.release()

            assertEquals(MemoryGrant.WAITING, younger.request(5_000_000, 20))
            assertEquals(MemoryGrant.GRANTED, older.request(5_000_000, 20))
        }

        @Test
        fun `takes the place of the incomplete body that has made no progress for the longest time`() {
            val stalled = holding(3_000_000)
            val active = holding(3_000_000)
            active.onProgress(900)
            val waiting = budget.open(900)

            assertEquals(MemoryGrant.WAITING, waiting.request(2_000_000, 900))
            assertFalse(stalled.isDropped)
            waiting.request(2_000_000, 1_000)
            assertTrue(stalled.isDropped)
            assertFalse(active.isDropped)
            stalled.release()
            assertEquals(MemoryGrant.GRANTED, waiting.request(2_000_000, 1_010))
        }

        @Test
        fun `is dropped after a bounded wait if nothing can take its place`() {
            holding(7_000_000).complete()
            val waiting = budget.open(0)

            val droppedAtMs = (0L..10_000L step 10).first { waiting.request(2_000_000, it) == MemoryGrant.DROPPED }

            assertEquals(MemoryBudget.MAX_WAIT_MS, droppedAtMs)
        }

        @Test
        fun `is not refused for others that wait too, guarding against bodies that all wait for each other`() {
            val accounts = (0L..1L).map { holding(3_000_000, it) }
            val grants = accounts.map { it.request(3_000_000, 10) }

            assertEquals(listOf(MemoryGrant.WAITING, MemoryGrant.DROPPED), grants)
            accounts[1].release()
            assertEquals(MemoryGrant.GRANTED, accounts[0].request(3_000_000, 20))
        }
    }

    @Nested
    inner class `what is charged` {
        @Test
        fun `drops as many stalled accounts as it needs, oldest first, guarding against heads that nothing takes the place of`() {
            val stalled = List(4) { holding(1_500_000, it.toLong()) }
            val charged = budget.open(5_000)

            charged.charge(3_000_000, 5_000)

            assertEquals(listOf(true, true, false, false), stalled.map { it.isDropped })
            assertFalse(charged.isDropped)
        }

        @Test
        fun `is dropped itself if no other account has stalled, and counts until it is released`() {
            holding(7_000_000).complete()
            val charged = budget.open(5_000)

            charged.charge(2_000_000, 5_000)

            assertTrue(charged.isDropped)
            assertEquals(9_000_000, budget.usage.usedBytes)
            charged.release()
            assertEquals(7_000_000, budget.usage.usedBytes)
        }

        @Test
        fun `uses the last part of the budget only if it is small, guarding against ordinary callers that are shut out by large heads`() {
            holding(7 * CAPACITY / 8).complete()
            val large = budget.open(0)
            val ordinary = budget.open(0)

            large.charge(MemoryBudget.ORDINARY_BYTES + 1, 0)
            ordinary.charge(MemoryBudget.ORDINARY_BYTES, 0)

            assertTrue(large.isDropped)
            assertFalse(ordinary.isDropped)
        }

        @Test
        fun `takes the place of responses that callers do not read, guarding against ordinary callers that are shut out by them`() {
            var closed = 0
            val unread = budget.open(0) { closed++ }
            unread.complete()
            unread.charge(CAPACITY, 0)
            unread.setUnread(true, 0)

            budget.open(5_000).charge(1_000, 5_000)

            assertTrue(unread.isDropped)
            assertEquals(1, closed)
        }

        @Test
        fun `closes a response that was dropped before it became unread, guarding against memory that never returns`() {
            var closed = 0
            holding(CAPACITY).complete()
            val response = budget.open(0) { closed++ }
            response.complete()

            response.charge(MemoryBudget.ORDINARY_BYTES + 1, 0)
            response.setUnread(true, 0)

            assertEquals(1, closed)
        }

        @Test
        fun `is not given back before the last holder releases it`() {
            val account = budget.open(0)
            account.charge(1_000, 0)
            account.retain()

            account.release()
            assertEquals(1_000, budget.usage.usedBytes)
            account.release()
            assertEquals(0, budget.usage.usedBytes)
        }
    }

    @Nested
    inner class `an account that was dropped and does not end` {
        @Test
        fun `is replaced by the next one that has stalled, guarding against one holder that keeps all others waiting`() {
            val stuck = holding(3_000_000)
            val stalled = holding(3_500_000, 1)
            val waiting = budget.open(5_000)

            assertEquals(MemoryGrant.WAITING, waiting.request(2_000_000, 5_000))
            assertEquals(MemoryGrant.WAITING, waiting.request(2_000_000, 5_000 + MemoryBudget.MIN_STALL_MS - 1))
            assertEquals(listOf(true, false), listOf(stuck, stalled).map { it.isDropped })
            assertEquals(MemoryGrant.WAITING, waiting.request(2_000_000, 5_000 + MemoryBudget.MIN_STALL_MS))
            assertTrue(stalled.isDropped)
            stalled.release()
            assertEquals(MemoryGrant.GRANTED, waiting.request(2_000_000, 5_000 + MemoryBudget.MIN_STALL_MS + 10))
        }

        @Test
        fun `counts as held by it for what is charged, guarding against heads beyond the budget`() {
            holding(CAPACITY)
            budget.open(5_000).charge(1_000, 5_000)
            val early = budget.open(5_000)
            val late = budget.open(5_000)

            early.charge(1_000, 5_000 + MemoryBudget.MIN_STALL_MS - 1)
            late.charge(1_000, 5_000 + MemoryBudget.MIN_STALL_MS)

            assertFalse(early.isDropped)
            assertTrue(late.isDropped)
        }

        @Test
        fun `does not shorten the wait of the only other account`() {
            holding(6_500_000)
            val waiting = holding(500_000, 5_000)

            val droppedAtMs = (5_000L..15_000L step 10).first { waiting.request(1_000_000, it) == MemoryGrant.DROPPED }

            assertEquals(5_000 + MemoryBudget.MAX_WAIT_MS, droppedAtMs)
        }
    }

    @Nested
    inner class `an account that is complete` {
        @Test
        fun `is not dropped, as its request may run`() {
            val complete = holding(7_000_000).also { it.complete() }
            budget.open(0).request(2_000_000, 5_000)

            assertFalse(complete.isDropped)
        }
    }

    private companion object {
        private const val CAPACITY = 8_000_000L
    }
}

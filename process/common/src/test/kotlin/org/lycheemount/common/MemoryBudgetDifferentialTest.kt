package org.lycheemount.common

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** In virtual time, with fixed seeds. */
class MemoryBudgetDifferentialTest {
    @Test
    fun `a budget decides as one that walks all accounts, guarding against an index that differs from its accounts`() {
        val totals = Totals()
        for (seed in 0 until SEEDS) RandomTrace(seed, totals).run()

        // Each decision has been taken many times.
        assertTrue(totals.grants.values.all { it > MIN_DECISIONS } && totals.grants.size == MemoryGrant.entries.size, "$totals")
        assertTrue(totals.drops > MIN_DECISIONS && totals.unreadDrops > MIN_DECISIONS, "$totals")
    }

    private class Totals {
        val grants = HashMap<MemoryGrant, Int>()
        var drops = 0L
        var unreadDrops = 0

        override fun toString() = "$grants, $drops dropped, $unreadDrops of them unread"
    }

    /** The same operations on both budgets, which must have the same results after each of them. */
    private class RandomTrace(
        private val seed: Int,
        private val totals: Totals,
    ) {
        private val random = Random(seed)
        private val budget = MemoryBudget(CAPACITY)
        private val walkingBudget = WalkingBudget(CAPACITY)
        private val unreadDrops = ArrayList<Int>()
        private val walkingUnreadDrops = ArrayList<Int>()
        private val accounts = ArrayList<Pair<MemoryAccount, WalkingBudget.Account>>()
        private var openedCount = 0
        private var nowMs = 0L
        private val largestBytes = if (random.nextBoolean()) CAPACITY / 4 else CAPACITY / 100

        fun run() {
            repeat(OPERATIONS) { step ->
                if (random.nextInt(3) == 0) nowMs += random.nextLong(MAX_STEP_MS)
                if (accounts.isEmpty() || random.nextInt(OPENING) == 0) open() else change(accounts.random(random))
                assertSame("seed $seed, operation $step")
            }
            totals.drops += budget.usage.droppedAccounts
            totals.unreadDrops += unreadDrops.size
        }

        private fun open() {
            val id = openedCount++
            accounts += budget.open(nowMs) { unreadDrops += id } to walkingBudget.open(nowMs) { walkingUnreadDrops += id }
            // Those that have been released stay for a while, as a holder may use them after that.
            if (accounts.size > MAX_ACCOUNTS) {
                val (account, walking) = accounts.removeAt(0)
                account.release()
                walkingBudget.release(walking)
            }
        }

        private fun change(pair: Pair<MemoryAccount, WalkingBudget.Account>) {
            val (account, walking) = pair
            val bytes = random.nextLong(largestBytes) / if (random.nextBoolean()) 1 else SMALL_DIVISOR
            when (random.nextInt(OPERATION_KINDS)) {
                0, 1, 2, 3, 4 -> request(account, walking, bytes)
                5 -> {
                    account.charge(bytes, nowMs)
                    walkingBudget.charge(walking, bytes, nowMs)
                }
                6 -> assertEquals(walkingBudget.tryTake(walking, bytes), account.tryTake(bytes))
                7 -> {
                    account.giveBack(bytes)
                    walkingBudget.giveBack(walking, bytes)
                }
                8 -> {
                    account.onProgress(nowMs)
                    walking.lastProgressMs = nowMs
                }
                9 -> {
                    val isUnread = random.nextBoolean()
                    account.setUnread(isUnread, nowMs)
                    walkingBudget.setUnread(walking, isUnread, nowMs)
                }
                10 -> {
                    account.complete()
                    walking.isComplete = true
                }
                else -> {
                    account.release()
                    walkingBudget.release(walking)
                }
            }
        }

        private fun request(
            account: MemoryAccount,
            walking: WalkingBudget.Account,
            bytes: Long,
        ) {
            val grant = account.request(bytes, nowMs)
            assertEquals(walkingBudget.request(walking, bytes, nowMs), grant)
            totals.grants.merge(grant, 1, Int::plus)
        }

        private fun assertSame(operation: String) {
            assertEquals(walkingBudget.usage, budget.usage, operation)
            assertEquals(accounts.map { it.second.isDropped }, accounts.map { it.first.isDropped }, operation)
            assertEquals(walkingUnreadDrops, unreadDrops, operation)
        }
    }

    private companion object {
        private const val SEEDS = 300
        private const val OPERATIONS = 1_500
        private const val CAPACITY = 2_000_000L
        private const val MAX_STEP_MS = 200L
        private const val OPENING = 8
        private const val OPERATION_KINDS = 12
        private const val MAX_ACCOUNTS = 60
        private const val SMALL_DIVISOR = 100
        private const val MIN_DECISIONS = 1_000
    }
}

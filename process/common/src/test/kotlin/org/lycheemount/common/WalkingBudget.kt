package org.lycheemount.common

import org.lycheemount.common.MemoryBudget.Companion.MAX_WAIT_MS
import org.lycheemount.common.MemoryBudget.Companion.MIN_STALL_MS
import org.lycheemount.common.MemoryBudget.Companion.ORDINARY_BYTES
import org.lycheemount.common.MemoryBudget.Companion.SMALL_BYTES
import org.lycheemount.common.MemoryBudget.Companion.SMALL_SHARE

/** The decisions of [MemoryBudget], each taken by a walk over all accounts. */
internal class WalkingBudget(
    private val capacityBytes: Long,
) {
    private val accounts = LinkedHashSet<Account>()
    private var usedBytes = 0L
    private var droppedCount = 0L

    val usage: MemoryUsage get() = MemoryUsage(usedBytes, accounts.count { it.waitingSinceMs != null }, droppedCount)

    class Account(
        val openedAtMs: Long,
        val onUnreadDropped: () -> Unit,
    ) {
        var heldBytes = 0L
        var waitingBytes = 0L
        var waitingSinceMs: Long? = null
        var isComplete = false
        var isUnread = false
        var isDropped = false
        var droppedAtMs = 0L
        var lastProgressMs = openedAtMs
        val isReceiving: Boolean get() = !isComplete && waitingSinceMs == null
        val isSmall: Boolean get() = heldBytes + waitingBytes <= SMALL_BYTES
    }

    fun open(
        nowMs: Long,
        onUnreadDropped: () -> Unit,
    ) = Account(nowMs, onUnreadDropped).also { accounts += it }

    fun request(
        account: Account,
        bytes: Long,
        nowMs: Long,
    ): MemoryGrant {
        if (account.isDropped || account !in accounts) return MemoryGrant.DROPPED
        account.waitingBytes = bytes
        if (!isNext(account)) {
            if (account.waitingSinceMs == null) account.waitingSinceMs = nowMs
            shed(account, nowMs)
            if (account.isDropped) return MemoryGrant.DROPPED
            if (!isNext(account)) return MemoryGrant.WAITING
        }
        take(account, bytes)
        account.waitingSinceMs = null
        account.lastProgressMs = nowMs
        return MemoryGrant.GRANTED
    }

    fun charge(
        account: Account,
        bytes: Long,
        nowMs: Long,
    ) {
        if (account !in accounts) return
        take(account, bytes)
        account.lastProgressMs = nowMs
        val limitBytes = if (account.heldBytes <= ORDINARY_BYTES) capacityBytes else largeLimitBytes
        while (!account.isDropped && usedBytes > account.heldBytes && usedBytes - returningBytes(nowMs) > limitBytes) {
            val isSpared = account.isComplete && account.heldBytes <= ORDINARY_BYTES
            drop(stalledAccount(nowMs) ?: if (isSpared) return else account, nowMs)
        }
    }

    fun tryTake(
        account: Account,
        bytes: Long,
    ): Boolean {
        if (account.isDropped || account !in accounts) return false
        if (usedBytes + bytes > capacityBytes && usedBytes > account.heldBytes) return false
        take(account, bytes)
        return true
    }

    fun giveBack(
        account: Account,
        bytes: Long,
    ) {
        val returned = minOf(bytes, account.heldBytes)
        usedBytes -= returned
        account.heldBytes -= returned
    }

    fun setUnread(
        account: Account,
        isUnread: Boolean,
        nowMs: Long,
    ) {
        account.isUnread = isUnread
        account.lastProgressMs = nowMs
        if (isUnread && account.isDropped) account.onUnreadDropped()
    }

    fun release(account: Account) {
        if (accounts.remove(account)) giveBack(account, account.heldBytes)
    }

    private fun take(
        account: Account,
        bytes: Long,
    ) {
        usedBytes += bytes
        account.heldBytes += bytes
    }

    private val largeLimitBytes: Long get() = capacityBytes - (capacityBytes * SMALL_SHARE).toLong()

    private fun isNext(account: Account): Boolean {
        val before = accounts.sumOf { if (it !== account && it.waitingSinceMs != null && precedes(it, account)) it.waitingBytes else 0L }
        if (usedBytes == account.heldBytes && before == 0L) return true
        return usedBytes + before + account.waitingBytes <= if (account.isSmall) capacityBytes else largeLimitBytes
    }

    private fun precedes(
        first: Account,
        second: Account,
    ) = if (first.isSmall != second.isSmall) first.isSmall else first.openedAtMs < second.openedAtMs

    private fun shed(
        waiting: Account,
        nowMs: Long,
    ) {
        val holding = accounts.filter { !it.isDropped && it.heldBytes > 0 }
        val isOnlyHolder = holding.singleOrNull() === waiting
        val stalled = stalledAccount(nowMs)
        val victim =
            when {
                nowMs - (waiting.waitingSinceMs ?: nowMs) >= MAX_WAIT_MS -> waiting
                returningBytes(nowMs) > 0 -> null
                stalled != null -> stalled
                !isOnlyHolder && holding.isNotEmpty() && holding.all { it.waitingSinceMs != null } -> holding.maxByOrNull { it.openedAtMs }
                else -> null
            } ?: return
        drop(victim, nowMs)
    }

    private fun drop(
        account: Account,
        nowMs: Long,
    ) {
        account.isDropped = true
        account.droppedAtMs = nowMs
        account.waitingSinceMs = null
        droppedCount++
        if (account.isUnread) account.onUnreadDropped()
    }

    private fun returningBytes(nowMs: Long): Long =
        accounts.sumOf { if (it.isDropped && nowMs - it.droppedAtMs < MIN_STALL_MS) it.heldBytes else 0L }

    private fun stalledAccount(nowMs: Long): Account? =
        accounts
            .filter { !it.isDropped && (it.isReceiving || it.isUnread) && nowMs - it.lastProgressMs >= MIN_STALL_MS && it.heldBytes > 0 }
            .minByOrNull { it.lastProgressMs }
}

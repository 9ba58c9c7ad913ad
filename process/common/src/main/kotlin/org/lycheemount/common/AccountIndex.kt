package org.lycheemount.common

import java.util.TreeSet

/**
 * Open accounts of a [MemoryBudget] in the orders in which it chooses between them, so that no choice walks all accounts. Not thread-safe.
 *
 * Except for its last progress, an account changes only in [update]. The last progress is looked up when an account is chosen by it.
 */
internal class AccountIndex {
    private var openedCount = 0L

    /** Accounts that wait, in the order in which they are served, with the bytes that they wait for. */
    private val waiting =
        PrefixSums<MemoryAccount>(compareBy<MemoryAccount> { !it.isSmall }.thenBy { it.openedAtMs }.thenBy { it.sequence })

    /** Accounts that hold memory and have not been dropped. The youngest is the last one; of several, the one that was opened first. */
    private val holding = TreeSet(compareBy<MemoryAccount> { it.openedAtMs }.thenByDescending { it.sequence })
    private var waitingHolderCount = 0

    /** Accounts that wait for their callers, by the last progress that is known here, which may be earlier than that of the account. */
    private val receivingOrUnread = TreeSet(compareBy<MemoryAccount> { it.indexedProgressMs }.thenBy { it.sequence })

    /** Dropped accounts whose memory is expected back, in the order in which they were dropped. */
    private val returning = LinkedHashSet<MemoryAccount>()
    private var heldByReturningBytes = 0L

    /** Number of accounts that wait. */
    val waitingCount: Int get() = waiting.size

    /** Whether all accounts that hold memory and have not been dropped wait. */
    val areAllHoldersWaiting: Boolean get() = waitingHolderCount == holding.size

    /** The account that was opened last of those that hold memory and have not been dropped, or null. */
    val youngestHolder: MemoryAccount? get() = if (holding.isEmpty()) null else holding.last()

    /** Whether [account] is the only one that holds memory and has not been dropped. */
    fun isOnlyHolder(account: MemoryAccount): Boolean = holding.size == 1 && holding.first() === account

    /** Adds a new [account]. */
    fun open(account: MemoryAccount) {
        account.sequence = openedCount++
        account.isOpen = true
        insert(account)
    }

    /** Removes [account]. */
    fun close(account: MemoryAccount) {
        remove(account)
        returning -= account
        account.isOpen = false
    }

    /** Has [change] change [account], which may have been closed. */
    inline fun update(
        account: MemoryAccount,
        change: MemoryAccount.() -> Unit,
    ) {
        if (account.isOpen) remove(account)
        account.change()
        if (account.isOpen) insert(account)
    }

    /** Bytes that the accounts wait for that are served before [account]. */
    fun waitingBytesBefore(account: MemoryAccount): Long = waiting.sumOfFirst { precedes(it, account) }

    /** The memory of [account], which has been dropped, is expected back. */
    fun expectReturn(account: MemoryAccount) {
        if (returning.add(account)) heldByReturningBytes += account.heldBytes
    }

    /** Bytes of dropped accounts whose holders have not ended yet, except for those that should have ended by [nowMs]. */
    fun returningBytes(nowMs: Long): Long {
        val accounts = returning.iterator()
        while (accounts.hasNext()) {
            val account = accounts.next()
            if (nowMs - account.droppedAtMs < MemoryBudget.MIN_STALL_MS) break
            accounts.remove()
            heldByReturningBytes -= account.heldBytes
        }
        return heldByReturningBytes
    }

    /** The account that has waited for its caller without progress for the longest time, if that is long enough to drop it. */
    fun longestStalled(nowMs: Long): MemoryAccount? {
        while (receivingOrUnread.isNotEmpty()) {
            val account = receivingOrUnread.first()
            if (nowMs - account.indexedProgressMs < MemoryBudget.MIN_STALL_MS) return null
            if (account.indexedProgressMs == account.lastProgressMs) return account
            receivingOrUnread.remove(account)
            account.indexedProgressMs = account.lastProgressMs
            receivingOrUnread.add(account)
        }
        return null
    }

    private fun insert(account: MemoryAccount) {
        if (account.isWaiting) waiting.add(account, account.waitingBytes)
        if (account.isHolding) {
            holding += account
            if (account.isWaiting) waitingHolderCount++
        }
        if (account.waitsForCaller) {
            account.indexedProgressMs = account.lastProgressMs
            receivingOrUnread += account
        }
        if (account in returning) heldByReturningBytes += account.heldBytes
    }

    private fun remove(account: MemoryAccount) {
        if (account.isWaiting) waiting.remove(account)
        if (account.isHolding) {
            holding -= account
            if (account.isWaiting) waitingHolderCount--
        }
        if (account.waitsForCaller) receivingOrUnread -= account
        if (account in returning) heldByReturningBytes -= account.heldBytes
    }

    private fun precedes(
        first: MemoryAccount,
        second: MemoryAccount,
    ): Boolean = if (first.isSmall != second.isSmall) first.isSmall else first.openedAtMs < second.openedAtMs

    private val MemoryAccount.isWaiting: Boolean get() = waitingSinceMs != null
    private val MemoryAccount.isHolding: Boolean get() = !isDropped && heldBytes > 0
    private val MemoryAccount.waitsForCaller: Boolean get() = isHolding && (isReceiving || isUnread)
}

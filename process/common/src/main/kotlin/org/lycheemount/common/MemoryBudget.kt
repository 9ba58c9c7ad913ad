package org.lycheemount.common

/** Answer to a reservation of memory. */
enum class MemoryGrant {
    /** The bytes are reserved. */
    GRANTED,

    /** The bytes are not available now. The account waits until it asks again or is released. */
    WAITING,

    /** The account has been dropped in favour of others; its holder must end. */
    DROPPED,
}

/**
 * Bounds the memory that the requests of a process hold together, for many callers that send large heads or bodies at once, or stop
 * sending short of their end. Thread-safe; does no I/O. Times are monotonic milliseconds.
 *
 * Accounts that hold little are served before the others, which cannot use the last [SMALL_SHARE] of the budget. If an account has to wait,
 * accounts are dropped until it can go on: first those that have not progressed for the longest time, then the youngest if all of them wait
 * for each other, and at last an account that has waited for [MAX_WAIT_MS] itself. An account that is alone is granted what it asks for.
 * The memory of a dropped account is expected back for [MIN_STALL_MS]; after that, others are dropped in its place.
 *
 * @property capacityBytes bytes that all accounts may hold together.
 */
class MemoryBudget(
    val capacityBytes: Long,
) {
    private val accounts = AccountIndex()
    private var usedBytes = 0L
    private var droppedCount = 0L

    /** Current use of the budget. */
    val usage: MemoryUsage
        @Synchronized
        get() = MemoryUsage(usedBytes, accounts.waitingCount, droppedCount)

    /**
     * Opens an account of one request, which must be released by each of its holders.
     *
     * @param onUnreadDropped called if the account is dropped while the caller does not read the response; must not block.
     */
    @Synchronized
    fun open(
        nowMs: Long,
        onUnreadDropped: () -> Unit = {},
    ): MemoryAccount = MemoryAccount(this, nowMs, onUnreadDropped).also(accounts::open)

    /** Reserves [bytes] more for [account], or lets it wait. */
    @Synchronized
    internal fun request(
        account: MemoryAccount,
        bytes: Long,
        nowMs: Long,
    ): MemoryGrant {
        if (account.isDropped || !account.isOpen) return MemoryGrant.DROPPED
        accounts.update(account) { waitingBytes = bytes }
        if (!isNext(account)) {
            if (account.waitingSinceMs == null) accounts.update(account) { waitingSinceMs = nowMs }
            shed(account, nowMs)
            if (account.isDropped) return MemoryGrant.DROPPED
            if (!isNext(account)) return MemoryGrant.WAITING
        }
        usedBytes += bytes
        accounts.update(account) {
            heldBytes += bytes
            waitingSinceMs = null
            lastProgressMs = nowMs
        }
        return MemoryGrant.GRANTED
    }

    /**
     * Adds [bytes] that [account] holds already. Beyond the budget, drops the accounts that have not progressed for the longest time, or
     * [account] itself if there are none.
     */
    @Synchronized
    internal fun charge(
        account: MemoryAccount,
        bytes: Long,
        nowMs: Long,
    ) {
        if (!account.isOpen) return
        take(account, bytes)
        account.lastProgressMs = nowMs
        val limitBytes = if (account.heldBytes <= ORDINARY_BYTES) capacityBytes else capacityBytes - (capacityBytes * SMALL_SHARE).toLong()
        while (!account.isDropped && usedBytes > account.heldBytes && usedBytes - accounts.returningBytes(nowMs) > limitBytes) {
            // A small response to a request that has run is not lost for others.
            val isSpared = account.isComplete && account.heldBytes <= ORDINARY_BYTES
            drop(accounts.longestStalled(nowMs) ?: if (isSpared) return else account, nowMs)
        }
    }

    /** Reserves [bytes] more for [account] if they are available, without waiting. */
    @Synchronized
    internal fun tryTake(
        account: MemoryAccount,
        bytes: Long,
    ): Boolean {
        if (account.isDropped || !account.isOpen) return false
        if (usedBytes + bytes > capacityBytes && usedBytes > account.heldBytes) return false
        take(account, bytes)
        return true
    }

    @Synchronized
    internal fun giveBack(
        account: MemoryAccount,
        bytes: Long,
    ) {
        val returned = minOf(bytes, account.heldBytes)
        usedBytes -= returned
        accounts.update(account) { heldBytes -= returned }
    }

    @Synchronized
    internal fun setUnread(
        account: MemoryAccount,
        isUnread: Boolean,
        nowMs: Long,
    ) {
        accounts.update(account) {
            this.isUnread = isUnread
            lastProgressMs = nowMs
        }
        if (isUnread && account.isDropped) account.onUnreadDropped()
    }

    @Synchronized
    internal fun complete(account: MemoryAccount) = accounts.update(account) { isComplete = true }

    @Synchronized
    internal fun retain(account: MemoryAccount) {
        account.holders++
    }

    @Synchronized
    internal fun release(account: MemoryAccount) {
        if (--account.holders > 0 || !account.isOpen) return
        giveBack(account, account.heldBytes)
        accounts.close(account)
    }

    private fun take(
        account: MemoryAccount,
        bytes: Long,
    ) {
        usedBytes += bytes
        accounts.update(account) { heldBytes += bytes }
    }

    /** Whether what [account] asks for is available after those that wait and come before it have got theirs. */
    private fun isNext(account: MemoryAccount): Boolean {
        val before = accounts.waitingBytesBefore(account)
        if (usedBytes == account.heldBytes && before == 0L) return true
        val limitBytes = if (account.isSmall) capacityBytes else capacityBytes - (capacityBytes * SMALL_SHARE).toLong()
        return usedBytes + before + account.waitingBytes <= limitBytes
    }

    private fun shed(
        waiting: MemoryAccount,
        nowMs: Long,
    ) {
        val stalled = accounts.longestStalled(nowMs)
        // Memory of a dropped account is on its way back, so that one account is dropped at a time.
        val isReturning = accounts.returningBytes(nowMs) > 0
        val victim =
            when {
                nowMs - (waiting.waitingSinceMs ?: nowMs) >= MAX_WAIT_MS -> waiting
                isReturning -> null
                stalled != null -> stalled
                accounts.areAllHoldersWaiting && !accounts.isOnlyHolder(waiting) -> accounts.youngestHolder
                else -> null
            } ?: return
        drop(victim, nowMs)
    }

    private fun drop(
        account: MemoryAccount,
        nowMs: Long,
    ) {
        accounts.update(account) {
            isDropped = true
            droppedAtMs = nowMs
            waitingSinceMs = null
        }
        accounts.expectReturn(account)
        droppedCount++
        if (account.isUnread) account.onUnreadDropped()
    }

    /** Bounds of the policy. */
    companion object {
        /** Share of the budget that only accounts that hold little can use. */
        const val SMALL_SHARE = 0.125

        /**
         * Time without progress in milliseconds after which an incomplete body may be dropped, and after which the memory of a dropped
         * account no longer counts as returning.
         */
        const val MIN_STALL_MS = 1_000L

        /** Time in milliseconds after which an account that waits is dropped itself. */
        const val MAX_WAIT_MS = 2_000L

        /** Size up to which an account counts as small. */
        const val SMALL_BYTES = 131_072L

        /** Size up to which what has been charged may use all of the budget. The head of an ordinary request costs less. */
        const val ORDINARY_BYTES = 16_384L
    }
}

/** Creates a budget of [heapShare] of the maximum heap of this process. */
fun createMemoryBudget(heapShare: Double = DEFAULT_HEAP_SHARE): MemoryBudget =
    MemoryBudget((Runtime.getRuntime().maxMemory() * heapShare).toLong())

/** A request also costs objects and buffers that are not counted, and the process about 40 MB of heap. */
const val DEFAULT_HEAP_SHARE = 0.3

/**
 * Use of a [MemoryBudget].
 *
 * @property usedBytes bytes that are reserved.
 * @property waitingAccounts number of accounts that wait for a reservation.
 * @property droppedAccounts number of accounts that have been dropped since the start of the process.
 */
data class MemoryUsage(
    val usedBytes: Long,
    val waitingAccounts: Int,
    val droppedAccounts: Long,
)

/** Memory that one request holds. Thread-safe. */
class MemoryAccount internal constructor(
    private val budget: MemoryBudget,
    internal val openedAtMs: Long,
    internal val onUnreadDropped: () -> Unit,
) {
    internal var heldBytes = 0L
    internal var waitingBytes = 0L
    internal var waitingSinceMs: Long? = null
    internal var isComplete = false
    internal var isUnread = false
    internal var droppedAtMs = 0L
    internal var holders = 1

    /** Whether it is in the index of the budget. */
    internal var isOpen = false

    /** Order in which accounts were opened. */
    internal var sequence = 0L

    /** Value of [lastProgressMs] by which the account is ordered in the index. */
    internal var indexedProgressMs = openedAtMs

    @Volatile
    internal var lastProgressMs = openedAtMs

    /** Whether the holder must end, as the memory is needed for others. */
    @Volatile
    var isDropped = false
        internal set

    internal val isReceiving: Boolean get() = !isComplete && waitingSinceMs == null
    internal val isSmall: Boolean get() = heldBytes + waitingBytes <= MemoryBudget.SMALL_BYTES

    /** Reserves [bytes] more. An account that waits asks again until it is granted or dropped. */
    fun request(
        bytes: Long,
        nowMs: Long,
    ): MemoryGrant = budget.request(this, bytes, nowMs)

    /** Adds [bytes] that are held already, and cannot be refused. May drop this account or others. */
    fun charge(
        bytes: Long,
        nowMs: Long,
    ) = budget.charge(this, bytes, nowMs)

    /** Reserves [bytes] more if they are available, without waiting. */
    fun tryTake(bytes: Long): Boolean = budget.tryTake(this, bytes)

    /** Returns [bytes] before the account is released. */
    fun giveBack(bytes: Long) = budget.giveBack(this, bytes)

    /** A part of what the account is for has arrived. */
    fun onProgress(nowMs: Long) {
        lastProgressMs = nowMs
    }

    /**
     * States whether a part of the response waits for the caller to read it. While it does and nothing more of it is sent, the account may
     * be dropped, since the caller may never read it.
     */
    fun setUnread(
        isUnread: Boolean,
        nowMs: Long,
    ) = budget.setUnread(this, isUnread, nowMs)

    /** All of the body has arrived. From now on the account is not dropped before its response. */
    fun complete() = budget.complete(this)

    /** Adds a holder, who must release the account as well. */
    fun retain(): MemoryAccount = also { budget.retain(it) }

    /** Returns all bytes once all holders have released the account. */
    fun release() = budget.release(this)
}

package org.lycheemount.budget

/** The components of one router's budget accounting. */
internal class BudgetComponents(
    val accounts: BudgetAccounts,
    val bills: BillQueue,
    val ledger: DefaultBudgetLedger,
    val writer: TableWriter,
    val allocator: GrantAllocator,
    val flusher: BillFlusher,
    val reclaimer: GrantReclaimer,
    val transfers: TransferExchange,
    val replicator: BillReplicator,
    val replicas: ReplicaWriter,
    val signals: WorkSignals,
    val recovery: GrantRecovery,
    val settlement: BudgetSettlement,
) {
    /** True when a ceiling holds back tokens that a request or a peer is waiting for; a flush raises the ceiling. */
    fun needsFlush(nowMs: Long): Boolean =
        accounts.needingAttention().any { account ->
            synchronized(account) {
                val grant = account.grant ?: return@synchronized false
                val usableTokens = grant.usableTokens(nowMs)
                usableTokens < grant.freeTokens && usableTokens < account.awaitedTokens(nowMs)
            }
        }
}

package org.lycheemount.budget

/** The collaborating components of one router's ledger. */
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
) {
    /** True when a ceiling is about to hold back requests although the grant would cover them. */
    fun needsFlush(nowMs: Long): Boolean =
        accounts.needingAttention().any { account ->
            synchronized(account) {
                val grant = account.grant ?: return@synchronized false
                val usable = grant.usableTokens(nowMs)
                usable < grant.freeTokens && usable < account.unmetDemandTokens + account.meter.largestReservationTokens * 2
            }
        }
}

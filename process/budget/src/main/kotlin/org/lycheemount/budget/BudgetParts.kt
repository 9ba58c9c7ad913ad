package org.lycheemount.budget

/** The collaborating parts of one router's ledger. */
internal class BudgetParts(
    val accounts: BudgetAccounts,
    val bills: BillQueue,
    val ledger: DefaultBudgetLedger,
    val writer: TableWriter,
    val keeper: GrantKeeper,
    val flusher: BillFlusher,
    val reclaimer: GrantReclaimer,
    val transfers: TransferExchange,
    val replication: BillReplication,
    val replicas: ReplicaWriter,
    val signals: WorkSignals,
) {
    /** True when a ceiling is about to hold back requests although the grant would cover them. */
    fun needsFlush(nowMs: Long): Boolean =
        accounts.needingAttention().any { account ->
            synchronized(account) {
                val grant = account.grant ?: return@synchronized false
                val usable = grant.usableTokens(nowMs)
                usable < grant.freeTokens && usable < account.wantedTokens + account.meter.largestReservation * 2
            }
        }
}

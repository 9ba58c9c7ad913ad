package org.lycheemount.budget

import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.TableTransaction

/** Writes bills, together with the current ceilings of grants, in batches. */
internal class BillFlusher(
    private val accounts: BudgetAccounts,
    private val bills: BillQueue,
    private val writer: TableWriter,
    private val session: TableSession,
    private val clock: Clock,
    private val options: BudgetOptions,
    private val log: EventLog,
) {
    /** Called with bills once they are in the table. */
    var onWritten: (List<Bill>) -> Unit = {}

    /** Writes one batch. Returns false when the table did not respond. */
    suspend fun flush(): Boolean {
        repeat(MAX_COMMIT_ATTEMPTS) {
            val attempt = plan() ?: return true
            when (writer.run(attempt)) {
                WriteAttemptResult.COMMITTED -> return true
                WriteAttemptResult.NO_RESPONSE -> return false
                WriteAttemptResult.CONFLICT -> Unit
            }
        }
        return true
    }

    private fun plan(): WriteAttempt? {
        val batch = bills.oldest(options.billsPerTransaction)
        val byGrant = batch.groupBy { it.grant }.entries.take(options.rowsPerTransaction)
        // A row takes as many entries of a transaction as a bill, so rows take the place of bills that are missing.
        val maxRows = options.rowsPerTransaction + options.billsPerTransaction - batch.size
        val stale = staleGrants().filter { (_, grant) -> grant !in byGrant.map { it.key } }.take(maxRows - byGrant.size)
        val transactionId = session.nextTransactionId()
        val billed =
            byGrant.mapNotNull { (grant, grantBills) ->
                val billedTokens = grantBills.sumOf { it.bill.charge.totalTokens }
                propose(grantBills.first().account, grant, transactionId, billedTokens)?.let { it to grantBills }
            }
        val refreshed = stale.mapNotNull { (account, grant) -> propose(account, grant, transactionId, 0) }
        val rows = billed.map { it.first } + refreshed
        if (rows.isEmpty()) return null
        return attempt(transactionId, rows, billed.flatMap { it.second })
    }

    private fun propose(
        account: BudgetAccount,
        grant: Grant,
        transactionId: String,
        billedTokens: Long,
    ): GrantWrite? = synchronized(account) { writer.proposeRow(account, grant, transactionId, billedDeltaTokens = billedTokens) }

    private fun attempt(
        transactionId: String,
        rows: List<GrantWrite>,
        written: List<UnwrittenBill>,
    ): WriteAttempt {
        val rowChecks = rows.map { RowCheck(it.key, it.grant.rowVersion) }
        val billKeys = written.map { billKey(it.bill.budgetId, it.bill.requestId) }
        val billWrites = written.zip(billKeys) { bill, key -> writeRow(key, BillRow(bill.bill, bill.grant.grantId)) }
        val rowWrites: List<RowWrite> = rows.map { writeRow(it.key, it.row) }
        return WriteAttempt(
            transaction = TableTransaction(transactionId, rowChecks + billKeys.map { RowCheck(it, 0) }, rowWrites + billWrites),
            grants = rows,
            onCommitted = { completeWritten(written) },
            onFailed = { current -> completeAlreadyWritten(written.zip(billKeys), current.orEmpty()) },
        )
    }

    private fun completeAlreadyWritten(
        bills: List<Pair<UnwrittenBill, String>>,
        current: Map<String, CurrentRow>,
    ) {
        val (found, billedByOthers) =
            bills
                .mapNotNull { (bill, key) -> current[key]?.let { bill to decodeRow<BillRow>(it.value) } }
                .partition { (bill, row) -> row.grantId == bill.grant.grantId }
        // Another router billed the same request from its own grant; the request must be charged only once.
        for ((bill, _) in billedByOthers) synchronized(bill.account) { bill.grant.reverseCharge(bill.bill.charge.totalTokens) }
        completeWritten((found + billedByOthers).map { it.first })
    }

    /** Removes bills that are in the table, written by this router or by the peer with their replicas. */
    private fun completeWritten(written: List<UnwrittenBill>) {
        if (written.isEmpty()) return
        bills.remove(written)
        val evictAtMs = clock.monotonicMs() + options.settledRetentionMs
        for (bill in written) {
            bill.reservation.evictAtMs = evictAtMs
            synchronized(bill.account) { bill.grant.unwrittenBills-- }
        }
        for (account in written.map { it.account }.distinct()) dropSettledClosedGrants(account)
        onWritten(written.map { it.bill })
    }

    private fun dropSettledClosedGrants(account: BudgetAccount) =
        synchronized(account) {
            val done = account.closedGrants.filter { !it.inUse }
            account.closedGrants.removeAll(done)
            for (grant in done) log.info("closed_grant_settled", "budget" to account.budgetId.value, "grant" to grant.grantId)
        }

    private fun staleGrants(): List<Pair<BudgetAccount, Grant>> {
        val nowMs = clock.monotonicMs()
        return accounts.all().mapNotNull { account ->
            synchronized(account) { account.grant?.takeIf { isStale(account, it, nowMs) }?.let { account to it } }
        }
    }

    private fun isStale(
        account: BudgetAccount,
        grant: Grant,
        nowMs: Long,
    ): Boolean {
        if (grant.closed || grant.hasPendingRow || account.closing) return false
        val row = grant.row ?: return grant.capacityTokens > 0
        if (row.sentTokens != grant.sentTokens || row.receivedTokens != grant.receivedTokens ||
            row.holderListed != writer.ownVmListed
        ) {
            return true
        }
        if (nowMs - grant.rowWrittenAtMs >= options.outageGraceMs / ROW_WRITES_PER_GRACE) return true
        val headroomTokens = writer.ceilingShape(account, grant).headroomTokens
        val spareTokens = row.ceilingTokens - grant.usedTokens
        if (spareTokens < account.awaitedTokens(nowMs)) return true
        return spareTokens < headroomTokens * MIN_HEADROOM_SHARE ||
            spareTokens > headroomTokens * 2 + account.meter.largestReservationTokens
    }

    private companion object {
        private const val MAX_COMMIT_ATTEMPTS = 4
        private const val MIN_HEADROOM_SHARE = 0.75
        private const val ROW_WRITES_PER_GRACE = 4
    }
}

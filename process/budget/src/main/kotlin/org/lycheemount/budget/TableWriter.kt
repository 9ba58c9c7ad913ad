package org.lycheemount.budget

import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterIdentity
import org.lycheemount.platform.TableTransaction

/** Write of a grant row within a transaction. */
internal class GrantWrite(
    val account: BudgetAccount,
    val grant: Grant,
    val row: GrantRow,
) {
    val key: String get() = grantKey(grant.budgetId, grant.grantId)
}

/**
 * A transaction of this router with callbacks for its outcome.
 *
 * @property onCommitted receives the new versions of rows; rows that may have changed since are left out.
 * @property onFailed receives the conflicting rows, or null when the transaction was not processed.
 */
internal class WriteAttempt(
    val transaction: TableTransaction,
    val grants: List<GrantWrite>,
    val onCommitted: (versions: Map<String, Long>) -> Unit = {},
    val onFailed: (current: Map<String, CurrentRow>?) -> Unit = {},
)

/** Combines [attempts], which must use the same [transactionId] and different rows, into one transaction. */
internal fun combineAttempts(
    transactionId: String,
    attempts: Collection<WriteAttempt>,
): WriteAttempt =
    WriteAttempt(
        TableTransaction(transactionId, attempts.flatMap { it.transaction.checks }, attempts.flatMap { it.transaction.writes }),
        attempts.flatMap { it.grants },
        onCommitted = { versions -> attempts.forEach { it.onCommitted(versions) } },
        onFailed = { current -> attempts.forEach { it.onFailed(current) } },
    )

internal enum class WriteAttemptResult { COMMITTED, CONFLICT, NO_RESPONSE }

/** Row reported by the table with a conflict. */
internal class CurrentRow(
    val value: String,
    val version: Long,
)

/**
 * Runs the transactions of this router one at a time. A transaction whose outcome is unknown blocks further ones until it is
 * resolved, so at most one row of each grant is in doubt.
 */
internal class TableWriter(
    val self: RouterIdentity,
    private val session: TableSession,
    private val clock: Clock,
    private val options: BudgetOptions,
    private val log: EventLog,
    private val routerCount: () -> Int,
) {
    private val statistics = TransactionStatistics(log)
    private var unresolved: WriteAttempt? = null

    /** True once this router has seen its own VM in the VM list. */
    var ownVmListed = false

    val inDoubt: Boolean get() = unresolved != null

    /** Resolves the transaction in doubt, if any. Returns false while it remains in doubt. */
    suspend fun resolvePending(): Boolean {
        val attempt = unresolved ?: return true
        applyResult(attempt, session.resolve(attempt.transaction))
        return unresolved == null
    }

    /**
     * Ends the transaction in doubt after a change of the era, by what the restored rows show. No late attempt of it can take effect, as
     * the row of its ended era is written. Returns false when the table did not respond.
     */
    suspend fun endInterrupted(): Boolean {
        val attempt = unresolved ?: return true
        val found = session.findOutcome(attempt.transaction.transactionId) ?: return false
        unresolved = null
        if (found.committed != null) applyCommit(attempt, found.committed.versions) else applyFailure(attempt, null)
        return true
    }

    /** Commits [attempt]. If its outcome stays unknown, it remains in doubt. */
    suspend fun run(attempt: WriteAttempt): WriteAttemptResult {
        check(unresolved == null) { "a transaction is in doubt" }
        val sentAtMs = clock.monotonicMs()
        val result = applyResult(attempt, session.commit(attempt.transaction))
        statistics.record(result, sentAtMs, clock.monotonicMs())
        return result
    }

    /**
     * Proposes the next row of [grant], with a ceiling above the current use and the last contact as the start of the grace.
     * The caller holds the monitor of [account]. Returns null before the first contact with the table.
     */
    fun proposeRow(
        account: BudgetAccount,
        grant: Grant,
        transactionId: String,
        grantedDeltaTokens: Long = 0,
        billedDeltaTokens: Long = 0,
    ): GrantWrite? {
        val contact = session.lastContact ?: return null
        val base = grant.row ?: GrantRow(grant.grantId, grant.budgetId, self, grantedTokens = 0)
        val granted = base.grantedTokens + grantedDeltaTokens
        val shape = ceilingShape(account, grant, grantedDeltaTokens)
        // The granted tokens do not cap the ceiling: tokens received from a peer are usable before the next write.
        val ceiling = grant.usedTokens + shape.headroomTokens
        val restTokens = granted + grant.receivedTokens - grant.usedTokens - shape.afterGraceTokens(options.outageGraceMs)
        val lateGrowthPerMs = lateCeilingGrowthTokensPerMs(account.meter, restTokens, options)
        val proposed =
            base.copy(
                grantedTokens = granted,
                settledTokens = base.settledTokens + billedDeltaTokens,
                usedTokens = grant.usedTokens,
                sentTokens = grant.sentTokens,
                receivedTokens = grant.receivedTokens,
                ceilingTokens = if (base.closed) base.ceilingTokens else ceiling,
                ceilingTokensPerMs = if (base.closed) base.ceilingTokensPerMs else shape.growthTokensPerMs,
                graceEndTokens = if (base.closed) base.graceEndTokens else shape.graceEndTokens,
                lateCeilingTokensPerMs = if (base.closed) base.lateCeilingTokensPerMs else lateGrowthPerMs,
                lastAckedTableTimeMs = contact.tableTimeMs,
                holderListed = ownVmListed,
                holderTransactionId = transactionId,
                era = session.eraNumber,
            )
        if (!base.closed) grant.propose(proposed, contact.receivedAtMs, options.outageGraceMs)
        return GrantWrite(account, grant, proposed)
    }

    /** Ceiling for the next row of [grant], to which [grantedDeltaTokens] are added. The caller holds the monitor of [account]. */
    fun ceilingShape(
        account: BudgetAccount,
        grant: Grant,
        grantedDeltaTokens: Long = 0,
    ): CeilingShape {
        val demand =
            CeilingDemand(
                freeTokens = grant.freeTokens + grantedDeltaTokens,
                awaitedTokens = account.awaitedTokens(clock.monotonicMs()),
                unallocatedTokens = (account.budgetRow?.unallocatedTokens ?: 0) - grantedDeltaTokens,
                limitTokens = account.budgetRow?.limitTokens ?: 0,
                routers = routerCount(),
            )
        return ceilingShape(account.meter, demand, options)
    }

    private fun applyResult(
        attempt: WriteAttempt,
        result: CommitResult,
    ): WriteAttemptResult {
        unresolved = null
        when (result) {
            is CommitResult.Committed -> {
                applyCommit(attempt, result.versions)
                return WriteAttemptResult.COMMITTED
            }
            is CommitResult.Conflict -> return applyConflict(attempt, result)
            is CommitResult.NoEffect -> applyFailure(attempt, null)
            is CommitResult.Unresolved -> unresolved = attempt
        }
        return WriteAttemptResult.NO_RESPONSE
    }

    private fun applyCommit(
        attempt: WriteAttempt,
        versions: Map<String, Long>,
    ) {
        val nowMs = clock.monotonicMs()
        for (write in attempt.grants) {
            val version = versions.getValue(write.key)
            synchronized(write.account) {
                if (write.grant.hasPendingRow) write.grant.confirm(version, nowMs) else write.grant.adopt(write.row, version)
            }
        }
        attempt.onCommitted(versions)
        wakeWaiters(attempt)
    }

    /** The table keeps transaction ids only for a time; a row that carries the id shows that the transaction was committed earlier. */
    private fun applyConflict(
        attempt: WriteAttempt,
        result: CommitResult.Conflict,
    ): WriteAttemptResult {
        val current = result.current.associate { it.key to CurrentRow(it.value, it.version) }
        val rows = attempt.grants.mapNotNull { write -> current[write.key]?.let { write to decodeRow<GrantRow>(it.value) } }
        val alreadyCommitted = rows.any { (_, row) -> row.holderTransactionId == attempt.transaction.transactionId }
        if (alreadyCommitted) {
            applyCommit(attempt, attempt.grants.associate { it.key to current.getValue(it.key).version })
        } else {
            applyFailure(attempt, current)
        }
        for ((write, row) in rows) adopt(write, row, current.getValue(write.key).version)
        return if (alreadyCommitted) WriteAttemptResult.COMMITTED else WriteAttemptResult.CONFLICT
    }

    private fun applyFailure(
        attempt: WriteAttempt,
        current: Map<String, CurrentRow>?,
    ) {
        for (write in attempt.grants) synchronized(write.account) { write.grant.clearPendingRow() }
        attempt.onFailed(current)
        wakeWaiters(attempt)
    }

    private fun adopt(
        write: GrantWrite,
        row: GrantRow,
        version: Long,
    ) = synchronized(write.account) {
        if (row.closed && !write.grant.closed) {
            log.warn("grant_closed_by_peer", "budget" to row.budgetId.value, "grant" to row.grantId, "chargedTokens" to row.chargedTokens)
        }
        write.grant.adopt(row, version)
        write.account.retireClosedGrant()
    }

    private fun wakeWaiters(attempt: WriteAttempt) {
        val nowMs = clock.monotonicMs()
        for (write in attempt.grants) synchronized(write.account) { write.account.wakeWaiters(nowMs) }
    }
}

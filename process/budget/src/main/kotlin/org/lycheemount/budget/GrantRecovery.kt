package org.lycheemount.budget

import kotlinx.coroutines.delay
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterIdentity
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.TableTransaction
import kotlin.random.Random

/**
 * Claims the grants of this router again after the store has come back from an older copy, in which they may be missing or hold fewer
 * tokens. Until that is done, this router writes nothing else, and spends only what it holds.
 */
internal class GrantRecovery(
    private val accounts: BudgetAccounts,
    private val reclaimer: GrantReclaimer,
    private val writer: TableWriter,
    private val session: TableSession,
    private val peers: PeerMessenger,
    private val clock: Clock,
    private val log: EventLog,
    private val random: Random,
) {
    private val startedAtMs = clock.monotonicMs()
    private val peersSeenAtMs = HashMap<RouterIdentity, Long>()
    private var recovering = false

    /** Whether the transaction in doubt, if any, is of an earlier era. */
    private var isPendingInterrupted = false
    private var endedEraWritten = 0L
    private var reportedEra = 0L

    /** Whether this router was running when the copy was made: it knows the routers that it was connected to since. */
    private var isWitness = false

    /** Whether this router closed the grants of its predecessors before the store came back. */
    private var standsForPredecessors = false

    /** Takes note of the connected routers. */
    fun observePeers(nowMs: Long) {
        for (peer in peers.connectedPeers()) peersSeenAtMs[peer] = nowMs
        peersSeenAtMs.values.removeIf { nowMs - it > MAX_COPY_AGE_MS }
    }

    /** Returns true once all grants are claimed in the latest era, and false when the table did not respond. */
    suspend fun recover(): Boolean {
        if (!session.isInLatestEra()) begin()
        if (!recovering) return true
        if (!writeEndedEras() || !endPending()) return false
        for (account in accounts.all().shuffled(random)) if (!claim(account)) return false
        if (!report()) return false
        recovering = false
        return true
    }

    /** States that this router holds nothing of earlier eras that is not in the table. Returns false when the table did not respond. */
    suspend fun report(): Boolean {
        if (reportedEra == session.eraNumber) return true
        if (!writeEndedEras()) return false
        val key = holdingsKey(writer.self)
        val found = session.read(listOf(key)) ?: return false
        val row = HoldingsRow(writer.self, session.eraNumber, peersSeenAtMs.keys.toSet(), isWitness, standsForPredecessors)
        val checks = listOf(RowCheck(key, found.find(key)?.version ?: 0))
        val transaction = TableTransaction(session.nextTransactionId(), checks, listOf(writeRow(key, row)))
        if (session.commit(transaction) !is CommitResult.Committed) return false
        reportedEra = session.eraNumber
        log.info("holdings_reported", "era" to row.era, "peers" to row.peers.size, "witness" to isWitness)
        return true
    }

    private fun begin() {
        observePeers(clock.monotonicMs())
        session.enterLatestEra()
        recovering = true
        isPendingInterrupted = true
        isWitness = clock.monotonicMs() - startedAtMs > MAX_COPY_AGE_MS
        standsForPredecessors = reclaimer.hasClosedPredecessors
        for (account in accounts.all()) {
            synchronized(account) {
                account.budgetRow = null
                account.balance = null
                account.needsAttention = true
            }
        }
        log.warn("grants_to_be_claimed", "era" to session.eraNumber)
    }

    private suspend fun endPending(): Boolean {
        if (!isPendingInterrupted) return writer.resolvePending()
        if (!writer.endInterrupted()) return false
        isPendingInterrupted = false
        return true
    }

    /** Keeps transactions of earlier eras that arrive late from taking effect. */
    private suspend fun writeEndedEras(): Boolean {
        val era = session.eraNumber
        if (endedEraWritten == era) return true
        val keys = (1..ENDED_ERAS).map { endedEraKey(era - it) }
        val snapshot = session.readEach(keys) ?: return false
        val missing = keys.filter { snapshot.find(it) == null }
        if (missing.isNotEmpty()) {
            val writes = missing.map { writeRow(it, era) }
            val transaction = TableTransaction(session.nextTransactionId(), missing.map { RowCheck(it, 0) }, writes)
            val result = session.commit(transaction)
            // After a conflict, another router has written some; the next pass reads them again.
            if (result !is CommitResult.Committed) return false
        }
        endedEraWritten = era
        return true
    }

    /** Claims the grants of [account]. Returns false when the table did not respond, or after too many conflicts. */
    private suspend fun claim(account: BudgetAccount): Boolean {
        repeat(MAX_COMMIT_ATTEMPTS) {
            if (account.claimedEra == session.eraNumber) return true
            val attempt = planClaim(account) ?: return account.claimedEra == session.eraNumber
            when (writer.run(attempt)) {
                WriteAttemptResult.COMMITTED -> Unit
                WriteAttemptResult.CONFLICT -> delay(random.nextLong(MAX_CONFLICT_DELAY_MS))
                WriteAttemptResult.NO_RESPONSE -> return false
            }
        }
        return account.claimedEra == session.eraNumber
    }

    /** Returns null when the table did not respond, or when there is nothing to claim. */
    private suspend fun planClaim(account: BudgetAccount): WriteAttempt? {
        val lostClosings = lostClosings(account) ?: return null
        val grants = synchronized(account) { account.allGrants().filter { it.row != null } }
        if (grants.isEmpty() && lostClosings.isEmpty()) {
            synchronized(account) { account.closing = false }
            account.claimedEra = session.eraNumber
            return null
        }
        val batch = lostClosings.take(MAX_CLOSINGS)
        val keys = (grants.map { it.grantId } + batch.map { it.row.grantId }).map { grantKey(account.budgetId, it) }
        val snapshot = session.readEach(listOf(budgetKey(account.budgetId)) + keys) ?: return null
        isWitness = isWitness || grants.any { snapshot.find(grantKey(account.budgetId, it.grantId)) != null }
        val claim = GrantClaim(account, snapshot, session.nextTransactionId(), session.eraNumber, writer, clock, log)
        return synchronized(account) { claim.plan(grants, batch, isLast = batch.size == lostClosings.size) }
    }

    /** Grants that this router has closed and the restored rows do not show as closed; null when the table did not respond. */
    private suspend fun lostClosings(account: BudgetAccount): List<BudgetAccount.Closing>? {
        val closings = synchronized(account) { account.closings.filter { it.writtenEra != session.eraNumber } }
        return closings.filter { (session.findOutcome(it.transactionId) ?: return null).committed == null }
    }

    private companion object {
        private const val MAX_COMMIT_ATTEMPTS = 8
        private const val MAX_CONFLICT_DELAY_MS = 200L

        /** Limit of closed grants in a transaction, each with a check and a write. */
        private const val MAX_CLOSINGS = 20

        /** Longer than a copy is old when the store comes back from it. */
        private const val MAX_COPY_AGE_MS = 15_000L

        /** Eras before the current one in which a transaction that is still on its way can have been prepared. */
        private const val ENDED_ERAS = 4
    }
}

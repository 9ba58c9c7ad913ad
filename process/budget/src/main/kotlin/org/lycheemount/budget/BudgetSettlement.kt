package org.lycheemount.budget

import org.lycheemount.common.BudgetId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.TableTransaction

/**
 * Makes the tokens of restored budgets available again once every router that may hold some has claimed its grants: those with a grant in
 * the restored rows, and those to which a router that has claimed its own was connected. If one of them has ended, the tokens that are
 * set aside stay charged, since nothing shows how many of them it had used; the budget is settled without them after some time.
 */
internal class BudgetSettlement(
    private val recovery: GrantRecovery,
    private val writer: TableWriter,
    private val session: TableSession,
    private val clock: Clock,
    private val log: EventLog,
) {
    private var nextAttemptAtMs = 0L
    private var attemptDelayMs = MIN_ATTEMPT_DELAY_MS
    private var attemptedEra = 0L
    private var firstAttemptAtMs = 0L
    private val loggedStates = HashMap<BudgetId, String>()

    /** Opens and settles the budgets of [accounts] that were restored. Returns false when the table did not respond. */
    suspend fun settle(accounts: List<BudgetAccount>): Boolean {
        val restored = accounts.filter { synchronized(it) { isRestored(it) } }
        val nowMs = clock.monotonicMs()
        if (restored.isEmpty()) return true
        if (attemptedEra != session.eraNumber) restartAttempts(nowMs)
        if (nowMs < nextAttemptAtMs) return true
        nextAttemptAtMs = nowMs + attemptDelayMs
        attemptDelayMs = minOf(attemptDelayMs * 2, MAX_ATTEMPT_DELAY_MS)
        if (!recovery.report()) return false
        val missing = missingReports() ?: return false
        for (account in restored) if (!settle(account, missing)) return false
        return true
    }

    private fun restartAttempts(nowMs: Long) {
        firstAttemptAtMs = nowMs
        attemptedEra = session.eraNumber
        attemptDelayMs = MIN_ATTEMPT_DELAY_MS
        nextAttemptAtMs = 0
    }

    private fun isRestored(account: BudgetAccount): Boolean {
        val row = account.budgetRow ?: return false
        if (account.budgetVersion == 0L) return false
        return !session.isCurrent(row.era) || !row.settled || row.setAsideTokens != 0L
    }

    /** Reports without which a budget is not settled; null when the table did not respond. */
    private suspend fun missingReports(): MissingReports? {
        val grants = session.scanAll(GRANT_PREFIX)?.map { decodeRow<GrantRow>(it.value) } ?: return null
        val holdings = session.scanAll(HOLDINGS_PREFIX)?.map { decodeRow<HoldingsRow>(it.value) } ?: return null
        return findMissingReports(grants, holdings, session.eraNumber)
    }

    private suspend fun settle(
        account: BudgetAccount,
        missing: MissingReports,
    ): Boolean {
        val key = budgetKey(account.budgetId)
        val row = session.read(listOf(key))?.find(key) ?: return false
        val restored = decodeRow<BudgetRow>(row.value)
        val opened = restored.openedIn(session.eraNumber)
        val isOverdue = clock.monotonicMs() - firstAttemptAtMs >= MAX_SETTLING_MS
        val changed = if (missing.isNone) opened.settledWithUnclaimed() else opened.copy(settled = opened.settled || isOverdue)
        logSettlement(account, opened, missing, isOverdue)
        if (changed == restored) {
            synchronized(account) { adopt(account, changed, row.version) }
            return true
        }
        val writes: List<RowWrite> = listOf(writeRow(key, changed))
        val attempt =
            WriteAttempt(
                TableTransaction(session.nextTransactionId(), listOf(RowCheck(key, row.version)), writes),
                grants = emptyList(),
                onCommitted = { versions -> synchronized(account) { adopt(account, changed, versions.getValue(key)) } },
                onFailed = { synchronized(account) { account.budgetRow = null } },
            )
        return writer.run(attempt) != WriteAttemptResult.NO_RESPONSE
    }

    private fun adopt(
        account: BudgetAccount,
        row: BudgetRow,
        version: Long,
    ) {
        account.budgetRow = row
        account.budgetVersion = version
        account.budgetReadAtMs = clock.monotonicMs()
    }

    /** Logs the state of a budget when it has changed; a budget stays restored as long as tokens of it are set aside. */
    private fun logSettlement(
        account: BudgetAccount,
        opened: BudgetRow,
        missing: MissingReports,
        isOverdue: Boolean,
    ) {
        val isSettled = missing.isNone || (opened.settled && opened.setAsideTokens == 0L)
        val event = if (isSettled) "budget_settled" else "budget_set_aside"
        val fields =
            arrayOf(
                "budget" to account.budgetId.value,
                "era" to opened.era,
                "tokens" to opened.setAsideTokens,
                "missingReports" to missing.routers.joinToString(",") { it.processName },
                "hasWitness" to missing.hasWitness,
                "overdue" to isOverdue,
            )
        val state = "$event ${fields.asList()}"
        if (loggedStates.put(account.budgetId, state) == state) return
        if (isOverdue && !isSettled) log.warn(event, *fields) else log.info(event, *fields)
    }

    private companion object {
        /** Time after which tokens that are added to a budget are granted although the report of an ended router is missing. */
        private const val MAX_SETTLING_MS = 60_000L
        private const val MIN_ATTEMPT_DELAY_MS = 250L
        private const val MAX_ATTEMPT_DELAY_MS = 30_000L
    }
}

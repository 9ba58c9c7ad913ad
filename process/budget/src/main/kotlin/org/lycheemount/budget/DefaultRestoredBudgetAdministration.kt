package org.lycheemount.budget

import kotlinx.serialization.SerializationException
import org.lycheemount.common.BudgetId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.StoreEras
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableTransaction
import org.lycheemount.platform.scanAll

/** Works on the rows of the table alone, so that it also serves when no router runs. */
internal class DefaultRestoredBudgetAdministration(
    private val table: TableService,
    private val eras: StoreEras,
    private val probe: RouterProbe,
    private val newTransactionId: () -> String,
) : RestoredBudgetAdministration {
    private val changer = BudgetChanger(table, eras)

    override suspend fun status(): RestoredBudgetsResult =
        try {
            findRestored()
        } catch (unreadable: SerializationException) {
            RestoredBudgetsResult.Unavailable(describe(unreadable))
        }

    private suspend fun findRestored(): RestoredBudgetsResult {
        val rows = readRows() ?: return RestoredBudgetsResult.Unavailable(NO_RESPONSE)
        val budgets = table.scanAll(BUDGET_PREFIX) ?: return RestoredBudgetsResult.Unavailable(NO_RESPONSE)
        val restored =
            budgets.map { row -> restoredBudget(BudgetId(row.key.removePrefix(BUDGET_PREFIX)), decodeRow(row.value), rows) }
        return RestoredBudgetsResult.Found(
            restored.filter { it.setAsideTokens > 0 || it.missingGrantTokens > 0 },
            rows.missing.routers.map { MissingRouter(it, stateOf(it, rows)) },
            rows.missing.hasWitness,
        )
    }

    override suspend fun release(
        budgetId: BudgetId,
        endedRouters: Set<EndedRouter>,
        keptTokens: Long,
    ): TokenRelease {
        invalidId("budget", budgetId.value)?.let { return TokenRelease.Failed(it) }
        if (keptTokens < 0) return TokenRelease.Failed(BudgetChange.Invalid("keptTokens", "0 or more"))
        return try {
            releaseFrom(budgetId, endedRouters, keptTokens)
        } catch (unreadable: SerializationException) {
            // Rows are read before anything is written.
            TokenRelease.Failed(BudgetChange.Unavailable(describe(unreadable)))
        }
    }

    private suspend fun releaseFrom(
        budgetId: BudgetId,
        endedRouters: Set<EndedRouter>,
        keptTokens: Long,
    ): TokenRelease {
        val rows = readRows() ?: return TokenRelease.Failed(BudgetChange.Unavailable(NO_RESPONSE))
        if (rows.era == 0L) return TokenRelease.Refused("the store states no era")
        refusal(endedRouters, rows)?.let { return TokenRelease.Refused(it) }
        return write(budgetId, rows, keptTokens)
    }

    /** Returns why the reports that are missing in [rows] cannot be done without, or null. */
    private suspend fun refusal(
        endedRouters: Set<EndedRouter>,
        rows: RestoredRows,
    ): String? {
        val missing = rows.missing.routers.associateBy { EndedRouter(it.routerId.value, it.incarnation) }
        val needless = endedRouters - missing.keys
        val unnamed = missing.keys - endedRouters
        val running = missing.values.firstOrNull { stateOf(it, rows) == MissingRouterState.REACHABLE }
        return when {
            needless.isNotEmpty() -> "no report is missing of ${describe(needless)}"
            unnamed.isNotEmpty() -> "a report is missing of ${describe(unnamed)} as well"
            running != null -> "the VM ${running.vmId.value} of router ${running.routerId.value} accepts connections"
            else -> null
        }
    }

    private suspend fun write(
        budgetId: BudgetId,
        rows: RestoredRows,
        keptTokens: Long,
    ): TokenRelease {
        val key = budgetKey(budgetId)
        val grantKeys = rows.missingGrants(budgetId).map { grantKey(budgetId, it.grantId) }
        var outcome: TokenRelease = TokenRelease.Refused("nothing was planned")
        val change =
            changer.change(listOf(key) + grantKeys) { current ->
                if (eras.current.value?.value != rows.era) return@change ChangePlan.Decided(BudgetChange.Unavailable(RETURNED_AGAIN))
                val budgetRow = current[key] ?: return@change ChangePlan.Decided(BudgetChange.NotFound)
                val grantRows = grantKeys.mapNotNull { current[it] }
                val release = planRelease(decodeRow(budgetRow.value), grantRows, rows, keptTokens)
                outcome = release?.outcome ?: TokenRelease.Refused("the budget has less than $keptTokens tokens to keep")
                if (release == null || !release.isChange) return@change ChangePlan.Decided(BudgetChange.Applied(0, repeated = true))
                val transaction = transactionOf(release, listOf(budgetRow) + grantRows, rows)
                ChangePlan.Write(transaction, BudgetChange.Applied(release.budget.limitTokens, repeated = false))
            }
        return if (change is BudgetChange.Applied) outcome else TokenRelease.Failed(change)
    }

    /** Writes [release] if [changedRows] are unchanged and the reports are still missing. */
    private fun transactionOf(
        release: PlannedRelease,
        changedRows: List<TableRow>,
        rows: RestoredRows,
    ): TableTransaction {
        val reports = rows.missing.routers.map { RowCheck(holdingsKey(it), rows.versionOf(holdingsKey(it))) }
        val grants = release.grants.map { writeRow(grantKey(it.budgetId, it.grantId), it) }
        return TableTransaction(
            newTransactionId(),
            changedRows.map { RowCheck(it.key, it.version) } + reports,
            listOf(writeRow(changedRows.first().key, release.budget)) + grants,
        )
    }

    /** Returns null if less than [keptTokens] can be released. */
    private fun planRelease(
        budget: BudgetRow,
        grantRows: List<TableRow>,
        rows: RestoredRows,
        keptTokens: Long,
    ): PlannedRelease? {
        val opened = budget.openedIn(rows.era)
        val grants = grantRows.map { decodeRow<GrantRow>(it.value) }.filter { !it.closed && it.era != rows.era }
        val unusedTokens = grants.associateWith { (it.grantedTokens + it.receivedTokens - it.usedTokens).coerceAtLeast(0) }
        val releasedTokens = opened.setAsideTokens + unusedTokens.values.sum() - keptTokens
        if (releasedTokens < 0) return null
        var changed = opened.settledWithUnclaimed()
        val closed =
            grants.map { grant ->
                val (next, row) = closeGrant(changed, grant, unusedTokens.getValue(grant))
                changed = next
                row.copy(era = rows.era)
            }
        return PlannedRelease(changed.charged(keptTokens), closed, TokenRelease.Released(releasedTokens), budget)
    }

    /** This row with [tokens] of the unallocated ones charged to nobody. */
    private fun BudgetRow.charged(tokens: Long) =
        copy(
            unallocatedTokens = unallocatedTokens - tokens,
            closedTokens = closedTokens + tokens,
            unbilledTokens = unbilledTokens + tokens,
        )

    private fun restoredBudget(
        budgetId: BudgetId,
        budget: BudgetRow,
        rows: RestoredRows,
    ): RestoredBudget {
        val isOpen = budget.era == rows.era
        val setAsideTokens = if (isOpen || rows.missing.isNone) budget.setAsideTokens else budget.openedIn(rows.era).setAsideTokens
        return RestoredBudget(budgetId, budget.limitTokens, setAsideTokens, rows.missingGrants(budgetId).sumOf { it.grantedTokens })
    }

    private suspend fun stateOf(
        router: RouterIdentity,
        rows: RestoredRows,
    ): MissingRouterState =
        when {
            rows.reporters.any { it.isSuccessorOf(router) } -> MissingRouterState.REPLACED
            probe.isReachable(router) -> MissingRouterState.REACHABLE
            else -> MissingRouterState.UNREACHABLE
        }

    private suspend fun readRows(): RestoredRows? {
        val grants = table.scanAll(GRANT_PREFIX) ?: return null
        val holdings = table.scanAll(HOLDINGS_PREFIX) ?: return null
        return RestoredRows(eras.current.value?.value ?: 0, grants, holdings)
    }

    private fun describe(unreadable: SerializationException) =
        "a row cannot be read, as one that routers of another release have written: ${unreadable.message?.lineSequence()?.first()}"

    private fun describe(routers: Set<EndedRouter>) = routers.joinToString { "${it.routerId}/${it.incarnation}" }

    /** Rows of grants and reports, as they were read in [era]. */
    private class RestoredRows(
        val era: Long,
        grantRows: List<TableRow>,
        private val holdingsRows: List<TableRow>,
    ) {
        private val grants = grantRows.map { decodeRow<GrantRow>(it.value) }
        private val holdings = holdingsRows.map { decodeRow<HoldingsRow>(it.value) }
        val missing = findMissingReports(grants, holdings, era)
        val reporters = holdings.filter { it.era == era }.map { it.router }

        /** Restored grants of [budgetId] whose holders have not reported. */
        fun missingGrants(budgetId: BudgetId) =
            grants.filter { it.budgetId == budgetId && !it.closed && it.era != era && it.holder in missing.routers }

        fun versionOf(key: String): Long = holdingsRows.firstOrNull { it.key == key }?.version ?: 0
    }

    private class PlannedRelease(
        val budget: BudgetRow,
        val grants: List<GrantRow>,
        val outcome: TokenRelease,
        before: BudgetRow,
    ) {
        val isChange = budget != before || grants.isNotEmpty()
    }

    private companion object {
        private const val NO_RESPONSE = "the table did not respond"
        private const val RETURNED_AGAIN = "the store has come back from an older copy meanwhile"
    }
}

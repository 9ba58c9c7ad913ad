package org.lycheemount.budget

import org.lycheemount.common.BudgetId
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.StoreEras
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableTransaction
import org.lycheemount.platform.scanAll

/** Stateless implementation on the rows of the table. */
internal class DefaultBudgetAdministration(
    private val table: TableService,
    private val eras: StoreEras,
    private val newTransactionId: () -> String,
) : BudgetAdministration,
    BudgetLimitWriter {
    private val changer = BudgetChanger(table, eras)

    override suspend fun create(budgetId: BudgetId): BudgetChange {
        invalidId("budgetId", budgetId.value)?.let { return it }
        val key = budgetKey(budgetId)
        return changer.change(listOf(key)) { rows ->
            val existing = rows[key]
            if (existing !=
                null
            ) {
                return@change ChangePlan.Decided(BudgetChange.Applied(decodeRow<BudgetRow>(existing.value).limitTokens, repeated = true))
            }
            ChangePlan.Write(
                TableTransaction(newTransactionId(), listOf(RowCheck(key, 0)), listOf(writeRow(key, newBudget(rows)))),
                BudgetChange.Applied(0, repeated = false),
            )
        }
    }

    override suspend fun topUp(
        budgetId: BudgetId,
        topUpId: String,
        tokens: Long,
    ): BudgetChange {
        invalidId("budgetId", budgetId.value)?.let { return it }
        invalidId("topUpId", topUpId)?.let { return it }
        if (tokens !in 1..BudgetAdministration.MAX_TOP_UP_TOKENS) {
            return BudgetChange.Invalid("tokens", "1..${BudgetAdministration.MAX_TOP_UP_TOKENS}")
        }
        val key = budgetKey(budgetId)
        val topUp = topUpKey(budgetId, topUpId)
        return changer.change(listOf(key, topUp)) { rows ->
            val row = rows[key] ?: return@change ChangePlan.Decided(BudgetChange.NotFound)
            planTopUp(row, decodeRow(row.value), topUp, rows[topUp]?.let { decodeRow<TopUpRow>(it.value) }, tokens)
        }
    }

    private fun planTopUp(
        row: TableRow,
        budget: BudgetRow,
        topUpKey: String,
        earlier: TopUpRow?,
        tokens: Long,
    ): ChangePlan {
        if (earlier != null && earlier.tokens != tokens) return ChangePlan.Decided(BudgetChange.IdReused(earlier.tokens))
        if (earlier != null) return ChangePlan.Decided(BudgetChange.Applied(budget.limitTokens, repeated = true))
        if (budget.limitTokens > Long.MAX_VALUE / 4) return ChangePlan.Decided(BudgetChange.Invalid("tokens", "limit reached"))
        val changed = budget.withLimit(budget.limitTokens + tokens)
        return ChangePlan.Write(
            TableTransaction(
                newTransactionId(),
                listOf(RowCheck(row.key, row.version), RowCheck(topUpKey, 0)),
                listOf(writeRow(row.key, changed), writeRow(topUpKey, TopUpRow(tokens))),
            ),
            BudgetChange.Applied(changed.limitTokens, repeated = false),
        )
    }

    override suspend fun setLimits(
        limits: Map<BudgetId, Long>,
        sequence: Long,
    ): BudgetChange {
        limits.keys.firstNotNullOfOrNull { invalidId("budgetId", it.value) }?.let { return it }
        val total = limits.values.sum()
        return changer.change(limits.keys.map(::budgetKey)) { rows ->
            val changed =
                limits.mapNotNull { (budgetId, tokens) ->
                    planLimit(budgetKey(budgetId), rows, tokens, sequence)
                }
            if (changed.isEmpty()) return@change ChangePlan.Decided(BudgetChange.Applied(total, repeated = true))
            val transaction = TableTransaction(newTransactionId(), changed.map { it.first }, changed.map { it.second })
            ChangePlan.Write(transaction, BudgetChange.Applied(total, repeated = false))
        }
    }

    /** Returns null when the limit is already set or was set by a later change. */
    private fun planLimit(
        key: String,
        rows: Map<String, TableRow>,
        tokens: Long,
        sequence: Long,
    ): Pair<RowCheck, RowWrite>? {
        val row = rows[key]
        val budget = row?.let { decodeRow<BudgetRow>(it.value) } ?: newBudget(rows)
        if (row != null && (budget.limitSequence >= sequence || budget.limitTokens == tokens)) return null
        val changed = budget.withLimit(tokens).copy(limitSequence = sequence)
        return RowCheck(key, row?.version ?: 0) to writeRow(key, changed)
    }

    /**
     * A budget without tokens. After a change of the era, its row may be among those that were lost, and routers may hold some of its
     * tokens.
     */
    private fun newBudget(rows: Map<String, TableRow>): BudgetRow {
        val era = eras.current.value?.value ?: return BudgetRow(0, 0)
        return BudgetRow(0, 0, era = era, settled = endedEraKey(era - 1) !in rows && era == changer.firstEra?.value)
    }

    /** This budget with [limitTokens]. What is added to a restored budget is set aside, as routers may have taken it since the copy. */
    private fun BudgetRow.withLimit(limitTokens: Long): BudgetRow {
        val addedTokens = limitTokens - this.limitTokens
        val changed = copy(limitTokens = limitTokens, unallocatedTokens = unallocatedTokens + addedTokens)
        return if (settled || addedTokens <= 0) changed else changed.setAside(addedTokens)
    }

    override suspend fun writeOff(
        budgetId: BudgetId,
        grantId: String,
    ): BudgetChange {
        invalidId("budgetId", budgetId.value)?.let { return it }
        invalidId("grantId", grantId)?.let { return it }
        val budgetKey = budgetKey(budgetId)
        val grantKey = grantKey(budgetId, grantId)
        return changer.change(listOf(budgetKey, grantKey)) { rows ->
            val budgetRow = rows[budgetKey] ?: return@change ChangePlan.Decided(BudgetChange.NotFound)
            val grantRow = rows[grantKey] ?: return@change ChangePlan.Decided(BudgetChange.NotFound)
            planWriteOff(budgetRow, grantRow)
        }
    }

    private fun planWriteOff(
        budgetRow: TableRow,
        grantRow: TableRow,
    ): ChangePlan {
        val budget = decodeRow<BudgetRow>(budgetRow.value)
        val grant = decodeRow<GrantRow>(grantRow.value)
        if (grant.closed) return ChangePlan.Decided(BudgetChange.Applied(budget.limitTokens, repeated = true))
        val (changed, closed) = closeGrant(budget, grant, reclaimedTokens = 0)
        return ChangePlan.Write(
            TableTransaction(
                newTransactionId(),
                listOf(RowCheck(budgetRow.key, budgetRow.version), RowCheck(grantRow.key, grantRow.version)),
                listOf(writeRow(budgetRow.key, changed), writeRow(grantRow.key, closed)),
            ),
            BudgetChange.Applied(budget.limitTokens, repeated = false),
        )
    }

    override suspend fun status(budgetId: BudgetId): BudgetStatusResult {
        // Scan grants first: a grant taken between the two reads is then missing, so the sum of tokens is never too large.
        val grants =
            table.scanAll(grantPrefix(budgetId)) ?: return BudgetStatusResult.Unavailable("the table did not respond")
        val result = table.read(listOf(budgetKey(budgetId)) + grants.map { it.key })
        if (result !is TableResult.Response) return BudgetStatusResult.Unavailable("the table did not respond")
        val budget = result.value.find(budgetKey(budgetId)) ?: return BudgetStatusResult.NotFound
        val rows =
            result.value.rows
                .filter { it.key != budget.key }
                .map { decodeRow<GrantRow>(it.value) }
        return BudgetStatusResult.Found(statusOf(budgetId, decodeRow(budget.value), rows, result.value.tableTimeMs))
    }

    override suspend fun bills(
        budgetId: BudgetId,
        afterRequestId: String?,
        limit: Int,
    ): BillsResult {
        val prefix = billPrefix(budgetId)
        val page = table.scan(prefix, afterRequestId?.let { prefix + it }, limit + 1)
        if (page !is TableResult.Response) return BillsResult.Unavailable("the table did not respond")
        val rows = page.value.rows
        return BillsResult.Page(rows.take(limit).map { decodeRow<BillRow>(it.value).bill }, rows.size > limit)
    }

    private fun statusOf(
        budgetId: BudgetId,
        budget: BudgetRow,
        grants: List<GrantRow>,
        tableTimeMs: Long,
    ): BudgetStatus {
        val open = grants.filter { !it.closed }
        return BudgetStatus(
            budgetId = budgetId,
            limitTokens = budget.limitTokens,
            unallocatedTokens = budget.unallocatedTokens,
            grantedTokens = open.sumOf { it.grantedTokens },
            settledTokens = budget.closedTokens + open.sumOf { it.settledTokens },
            closedTokens = budget.closedTokens,
            transferTokens = budget.transferTokens,
            holders = grants.map(::holderOf),
            asOfTableTimeMs = tableTimeMs,
        )
    }

    private fun holderOf(row: GrantRow) =
        GrantStatus(
            routerId = row.holder.routerId,
            grantId = row.grantId,
            grantedTokens = row.grantedTokens,
            settledTokens = row.settledTokens,
            sentTokens = row.sentTokens,
            receivedTokens = row.receivedTokens,
            ceilingTokens = row.ceilingTokens,
            lastAckedTableTimeMs = row.lastAckedTableTimeMs,
            reclaimed = row.closed,
            chargedTokens = row.chargedTokens,
        )
}

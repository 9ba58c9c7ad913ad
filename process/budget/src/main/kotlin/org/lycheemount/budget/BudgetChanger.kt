package org.lycheemount.budget

import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreEras
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableTransaction

/** Changes rows of budgets in transactions that hold in one era of the store only. */
internal class BudgetChanger(
    private val table: TableService,
    private val eras: StoreEras,
) {
    /** First era in which this process has changed a budget; null while the store has stated none. */
    @Volatile
    var firstEra: StoreEra? = null
        private set

    /** Reads [keys], plans and commits the change, and retries after a conflict. */
    suspend fun change(
        keys: List<String>,
        plan: (Map<String, TableRow>) -> ChangePlan,
    ): BudgetChange {
        repeat(MAX_COMMIT_ATTEMPTS) {
            if (firstEra == null) firstEra = eras.current.value
            val era = eras.current.value
            val snapshot = table.read(if (era == null) keys else keys + endedEraKey(era.value - 1))
            if (snapshot !is TableResult.Response) return BudgetChange.Unavailable("the table did not respond")
            if (eras.current.value != era) return@repeat
            when (val step = plan(snapshot.value.rows.associateBy { it.key })) {
                is ChangePlan.Decided -> return step.change
                is ChangePlan.Write -> commit(step, era)?.let { return it }
            }
        }
        return BudgetChange.Unavailable("$MAX_COMMIT_ATTEMPTS attempts conflicted with other changes of the budget")
    }

    /** Returns null after a conflict, and after a change of the era, which may have undone the change of the budget. */
    private suspend fun commit(
        step: ChangePlan.Write,
        era: StoreEra?,
    ): BudgetChange? {
        val transaction = step.transaction.checkedInEra(era)
        val result = table.commit(transaction)
        if (eras.current.value != era) return null
        return when (result) {
            is TableResult.Response -> step.applied.takeIf { result.value is CommitOutcome.Committed }
            is TableResult.Unavailable -> BudgetChange.Unavailable(result.detail)
            is TableResult.Unknown ->
                when (resolveCommitted(transaction)) {
                    true -> step.applied
                    false -> null
                    null -> BudgetChange.Unknown(result.detail)
                }
        }
    }

    /** Returns null when the outcome stays unknown. A transaction that the table does not know is sent again under the same id. */
    private suspend fun resolveCommitted(transaction: TableTransaction): Boolean? {
        val found = table.findTransaction(transaction.transactionId)
        if (found !is TableResult.Response) return null
        found.value.outcome?.let { return it is CommitOutcome.Committed }
        val retried = table.commit(transaction)
        return if (retried is TableResult.Response) retried.value is CommitOutcome.Committed else null
    }

    private companion object {
        private const val MAX_COMMIT_ATTEMPTS = 20
    }
}

/** What is to be done about the rows that were read. */
internal sealed interface ChangePlan {
    /** Nothing is written; [change] is the outcome. */
    class Decided(
        val change: BudgetChange,
    ) : ChangePlan

    /** [transaction] is committed; the outcome is then [applied]. */
    class Write(
        val transaction: TableTransaction,
        val applied: BudgetChange,
    ) : ChangePlan
}

/** Returns the error for an id that is not valid, or null. */
internal fun invalidId(
    field: String,
    value: String,
): BudgetChange.Invalid? = if (ID_PATTERN.matches(value)) null else BudgetChange.Invalid(field, ID_PATTERN.pattern)

private val ID_PATTERN = Regex("[A-Za-z0-9._:-]{1,128}")

package org.lycheemount.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.lycheemount.budget.BudgetLedger
import org.lycheemount.budget.BudgetReplenisher
import org.lycheemount.budget.ReservationOutcome
import org.lycheemount.common.BudgetId
import org.lycheemount.common.Clock
import org.lycheemount.common.Refusal
import org.lycheemount.common.RequestId

/** Reserves tokens from the grants of this router; waits for a new grant only if the request would otherwise be refused. */
internal class TokenReserver(
    private val ledger: BudgetLedger,
    private val replenisher: BudgetReplenisher,
    private val clock: Clock,
) {
    /** Reserves between [minimumTokens] and [maximumTokens] and returns the number. Waits at most [waitMs] for a grant. */
    suspend fun reserve(
        requestId: RequestId,
        budgetId: BudgetId,
        minimumTokens: Long,
        maximumTokens: Long,
        waitMs: Long = GRANT_WAIT_MS,
    ): Result<Long, Refusal> {
        val first = tryReserve(requestId, budgetId, minimumTokens, maximumTokens)
        if (first.isOk) return first
        replenisher.awaitTokens(budgetId, minimumTokens, waitMs)
        // Retried even without new tokens: the budget may by now be known to be exhausted, which makes the refusal more precise.
        return tryReserve(requestId, budgetId, minimumTokens, maximumTokens)
    }

    private fun tryReserve(
        requestId: RequestId,
        budgetId: BudgetId,
        minimumTokens: Long,
        maximumTokens: Long,
    ): Result<Long, Refusal> {
        val nowMs = clock.monotonicMs()
        return when (val outcome = ledger.reserveUpTo(requestId, budgetId, minimumTokens, maximumTokens, nowMs)) {
            is ReservationOutcome.Reserved -> Ok(outcome.reservedTokens)
            is ReservationOutcome.Refused -> Err(outcome.refusal)
        }
    }

    private companion object {
        // An available table grants within two round trips; a longer wait would only delay the refusal.
        private const val GRANT_WAIT_MS = 1_500L
    }
}

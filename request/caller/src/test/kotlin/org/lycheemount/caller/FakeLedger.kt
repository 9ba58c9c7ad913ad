package org.lycheemount.caller

import org.lycheemount.budget.Bill
import org.lycheemount.budget.BudgetLedger
import org.lycheemount.budget.BudgetReplenisher
import org.lycheemount.budget.Charge
import org.lycheemount.budget.ReservationOutcome
import org.lycheemount.common.BudgetId
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterId
import java.util.concurrent.LinkedBlockingQueue

/** In-memory ledger of one budget. Fails on duplicate reservations, repeated settlements and charges above the reservation. */
internal class FakeLedger(
    private var availableTokens: Long = 1_000_000,
) : BudgetLedger,
    BudgetReplenisher {
    private val reservations = HashMap<RequestId, Long>()
    val bills = LinkedBlockingQueue<Bill>()

    @Synchronized
    fun available(): Long = availableTokens

    @Synchronized
    override fun reserve(
        requestId: RequestId,
        budgetId: BudgetId,
        tokens: Long,
        nowMs: Long,
    ): ReservationOutcome = reserveUpTo(requestId, budgetId, tokens, tokens, nowMs)

    @Synchronized
    override fun reserveUpTo(
        requestId: RequestId,
        budgetId: BudgetId,
        minimumTokens: Long,
        maximumTokens: Long,
        nowMs: Long,
    ): ReservationOutcome {
        check(requestId !in reservations) { "${requestId.value} already has a reservation" }
        if (availableTokens < minimumTokens) return refused()
        val tokens = if (availableTokens >= maximumTokens) maximumTokens else minimumTokens
        availableTokens -= tokens
        reservations[requestId] = tokens
        return ReservationOutcome.Reserved(tokens)
    }

    @Synchronized
    override fun extend(
        requestId: RequestId,
        additionalTokens: Long,
        nowMs: Long,
    ): ReservationOutcome {
        if (availableTokens < additionalTokens) return refused()
        availableTokens -= additionalTokens
        return ReservationOutcome.Reserved(checkNotNull(reservations.merge(requestId, additionalTokens, Long::plus)))
    }

    @Synchronized
    override fun settle(
        requestId: RequestId,
        charge: Charge,
        nowMs: Long,
    ): Bill {
        val tokens = checkNotNull(reservations.remove(requestId)) { "${requestId.value} has no reservation or was settled before" }
        check(charge.totalTokens in 0..tokens) { "the charge exceeds the reservation" }
        availableTokens += tokens - charge.totalTokens
        return Bill(requestId, BudgetId("b1"), RouterId("r1"), charge, nowMs).also { bills += it }
    }

    @Synchronized
    override fun release(
        requestId: RequestId,
        nowMs: Long,
    ) {
        availableTokens += reservations.remove(requestId) ?: 0
    }

    override suspend fun awaitTokens(
        budgetId: BudgetId,
        tokens: Long,
        timeoutMs: Long,
    ): Boolean = false

    override fun prefetchGrants(budgetIds: Set<BudgetId>) = Unit

    private fun refused() = ReservationOutcome.Refused(Refusal(RefusalReason.BUDGET_EXHAUSTED, "exhausted"))
}

package org.lycheemount.budget

import kotlinx.serialization.Serializable
import org.lycheemount.common.BudgetId
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterId

/**
 * Billing record of a request; a request has exactly one.
 *
 * @property settledAtMs wall-clock time of the settlement.
 */
@Serializable
data class Bill(
    val requestId: RequestId,
    val budgetId: BudgetId,
    val routerId: RouterId,
    val charge: Charge,
    val settledAtMs: Long,
)

package org.lycheemount.budget

import kotlinx.serialization.Serializable
import org.lycheemount.common.BudgetId
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterId

/** The one billing record of a request. */
@Serializable
data class Bill(
    val requestId: RequestId,
    val budgetId: BudgetId,
    val routerId: RouterId,
    val charge: Charge,
    val settledAtMs: Long,
)

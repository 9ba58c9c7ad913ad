package org.lycheemount.config

import kotlinx.serialization.Serializable
import org.lycheemount.common.BudgetId
import org.lycheemount.common.TeamId

/**
 * A team and its limits.
 *
 * @property keyHashes lower-case hexadecimal SHA-256 of each bearer key.
 * @property prepaidTokens total that the team may use, where the configuration sets it instead of top-ups; null otherwise.
 * @property priority takes the place of the priority of the team's routes; null when it has none.
 */
@Serializable
data class Team(
    val teamId: TeamId,
    val budgetId: BudgetId,
    val keyHashes: Set<String> = emptySet(),
    val limits: TeamLimits = TeamLimits(),
    val prepaidTokens: Long? = null,
    val priority: Int? = null,
)

package org.lycheemount.config

import kotlinx.serialization.Serializable
import org.lycheemount.common.BudgetId
import org.lycheemount.common.TeamId

/**
 * A team and its limits.
 *
 * @property keyHashes lower-case hexadecimal SHA-256 of each bearer key.
 */
@Serializable
data class Team(
    val teamId: TeamId,
    val budgetId: BudgetId,
    val keyHashes: Set<String> = emptySet(),
    val limits: TeamLimits = TeamLimits(),
)

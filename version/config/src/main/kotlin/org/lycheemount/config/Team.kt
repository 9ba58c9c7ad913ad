package org.lycheemount.config

import kotlinx.serialization.Serializable
import org.lycheemount.common.BudgetId
import org.lycheemount.common.TeamId
import java.security.MessageDigest
import java.util.HexFormat

/** Returns the lower-case hexadecimal SHA-256 of a bearer [key]. Configurations store keys only in this form. */
fun hashKey(key: String): String = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray()))

/**
 * A team and its limits.
 *
 * @property keyHashes [hashKey] of each bearer key.
 * @property prepaidTokens total number of tokens that the team may use; null if top-ups set the budget instead.
 * @property priority overrides the priority of the routes for this team; null keeps the routes' priority.
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

package org.lycheemount.config

import kotlinx.serialization.Serializable
import org.lycheemount.common.BudgetId
import org.lycheemount.common.TeamId
import java.security.MessageDigest
import java.util.HexFormat

/** Lower-case hexadecimal SHA-256 of a bearer [key], the only form in which configurations hold it. */
fun hashKey(key: String): String = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray()))

/**
 * A team and its limits.
 *
 * @property keyHashes [hashKey] of each bearer key.
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

package org.lycheemount.admin

import io.ktor.http.HttpStatusCode
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.lycheemount.budget.Bill
import org.lycheemount.budget.BillsResult
import org.lycheemount.budget.BudgetAdministration
import org.lycheemount.budget.BudgetChange
import org.lycheemount.budget.BudgetStatus
import org.lycheemount.budget.BudgetStatusResult
import org.lycheemount.common.BudgetId
import org.lycheemount.config.ConfigurationView
import org.lycheemount.config.FieldError
import org.lycheemount.config.ID_FORMAT_DESCRIPTION
import org.lycheemount.config.isValidId

/** Creates, reads and tops up budgets, and writes off grants. */
internal class BudgetHandler(
    private val budgets: BudgetAdministration,
    private val configuration: ConfigurationView,
) {
    suspend fun create(budgetId: BudgetId): AdminResponse {
        if (!isValidId(budgetId.value)) return invalid(FieldError("budgetId", ID_FORMAT_DESCRIPTION))
        return toResponse(budgets.create(budgetId), budgetId, changeId = budgetId.value)
    }

    suspend fun topUp(
        budgetId: BudgetId,
        body: JsonObject,
    ): AdminResponse {
        val topUpId = body.text("topUpId")?.takeIf(::isValidId)
        val tokens = body.long("tokens")
        val errors =
            (body.keys - setOf("topUpId", "tokens")).map { FieldError(it.take(64), "unknown field; known fields: topUpId, tokens") } +
                listOfNotNull(
                    FieldError("topUpId", ID_FORMAT_DESCRIPTION).takeIf { topUpId == null },
                    FieldError("tokens", "integer from 1 to ${BudgetAdministration.MAX_TOP_UP_TOKENS}").takeIf { tokens == null },
                )
        if (errors.isNotEmpty() || topUpId == null || tokens == null) return invalid(errors)
        return toResponse(budgets.topUp(budgetId, topUpId, tokens), budgetId, topUpId)
    }

    suspend fun writeOff(
        budgetId: BudgetId,
        grantId: String,
    ): AdminResponse {
        val change = budgets.writeOff(budgetId, grantId)
        if (change is BudgetChange.NotFound) return notFound("budget ${budgetId.value} has no grant $grantId")
        return toResponse(change, budgetId, changeId = grantId)
    }

    suspend fun get(budgetId: BudgetId): AdminResponse =
        when (val result = budgets.status(budgetId)) {
            is BudgetStatusResult.Found -> ok(toJson(result.status))
            is BudgetStatusResult.NotFound -> notFound("budget ${budgetId.value} does not exist")
            is BudgetStatusResult.Unavailable -> unavailable(result.detail)
        }

    /** Lists the budgets that teams use. */
    suspend fun list(): AdminResponse {
        val ids =
            configuration
                .current()
                .teams.values
                .map { it.budgetId }
                .distinct()
                .sortedBy { it.value }
        val budgetsAsJson =
            ids.mapNotNull { id ->
                when (val result = budgets.status(id)) {
                    is BudgetStatusResult.Found -> toJson(result.status)
                    is BudgetStatusResult.NotFound -> null
                    is BudgetStatusResult.Unavailable -> return unavailable(result.detail)
                }
            }
        return ok(buildJsonObject { put("budgets", JsonArray(budgetsAsJson)) })
    }

    suspend fun bills(
        budgetId: BudgetId,
        after: String?,
        limit: Long,
    ): AdminResponse =
        when (val page = budgets.bills(budgetId, after, limit.toInt())) {
            is BillsResult.Unavailable -> unavailable(page.detail)
            is BillsResult.Page -> {
                val bills = page.bills.map { adminJson.encodeToJsonElement(Bill.serializer(), it) }
                ok(
                    buildJsonObject {
                        put("bills", JsonArray(bills))
                        put("more", page.more)
                    },
                )
            }
        }

    private fun toResponse(
        change: BudgetChange,
        budgetId: BudgetId,
        changeId: String,
    ): AdminResponse =
        when (change) {
            is BudgetChange.Applied ->
                ok(
                    buildJsonObject {
                        put("budgetId", budgetId.value)
                        put("limitTokens", change.limitTokens)
                        put("repeated", change.repeated)
                    },
                )
            is BudgetChange.Invalid -> invalid(FieldError(change.field, change.acceptedRange))
            is BudgetChange.NotFound -> notFound("budget ${budgetId.value} does not exist")
            is BudgetChange.IdReused ->
                failed(
                    HttpStatusCode.Conflict,
                    AdminError.Detail(
                        "conflict",
                        "nothing was changed: this id was used for ${change.earlierTokens} tokens",
                        changeId = changeId,
                    ),
                )
            is BudgetChange.Unavailable -> unavailable(change.detail, changeId)
            is BudgetChange.Unknown -> outcomeUnknown(change.detail, changeId)
        }

    private fun toJson(status: BudgetStatus) =
        buildJsonObject {
            put("budgetId", status.budgetId.value)
            put("limitTokens", status.limitTokens)
            put("unallocatedTokens", status.unallocatedTokens)
            put("grantedTokens", status.grantedTokens)
            put("settledTokens", status.settledTokens)
            put("closedTokens", status.closedTokens)
            put("transferTokens", status.transferTokens)
            put("asOfTableTimeMs", status.asOfTableTimeMs)
            putJsonArray("holders") {
                for (holder in status.holders) {
                    addJsonObject {
                        put("routerId", holder.routerId.value)
                        put("grantId", holder.grantId)
                        put("grantedTokens", holder.grantedTokens)
                        put("settledTokens", holder.settledTokens)
                        put("ceilingTokens", holder.ceilingTokens)
                        put("lastAckedTableTimeMs", holder.lastAckedTableTimeMs)
                        put("reclaimed", holder.reclaimed)
                    }
                }
            }
        }
}

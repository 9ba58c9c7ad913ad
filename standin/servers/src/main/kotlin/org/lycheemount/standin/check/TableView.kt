package org.lycheemount.standin.check

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.standin.standInJson

/** Totals of a budget, summed from its table rows. */
internal data class BudgetTotals(
    val limitTokens: Long,
    val unallocatedTokens: Long,
    val closedTokens: Long,
    val transferTokens: Long,
    val grantedTokens: Long,
    val settledTokens: Long,
)

/** Reads bills and budgets directly from the table, bypassing the routers. */
internal class TableView(
    private val table: TableService,
) {
    /** Returns the tokens of each bill of [budget] by request id. */
    suspend fun bills(budget: String): Map<String, Long> =
        scan("bill/$budget/").entries.associate { (key, row) ->
            val charge =
                row
                    .getValue("bill")
                    .jsonObject
                    .getValue("charge")
                    .jsonObject
            key.removePrefix("bill/$budget/") to charge.number("promptTokens") + charge.number("completionTokens")
        }

    suspend fun budget(budget: String): BudgetTotals? {
        val row = scan("budget/$budget")["budget/$budget"] ?: return null
        val grants = scan("grant/$budget/").values.filter { it["closed"]?.jsonPrimitive?.content != "true" }
        return BudgetTotals(
            row.number("limitTokens"),
            row.number("unallocatedTokens"),
            row.number("closedTokens"),
            row.number("transferTokens"),
            grants.sumOf { it.number("grantedTokens") },
            grants.sumOf { it.number("settledTokens") },
        )
    }

    private suspend fun scan(prefix: String): Map<String, JsonObject> =
        when (val result = table.scan(prefix)) {
            is TableResult.Response -> result.value.rows.associate { it.key to standInJson.parseToJsonElement(it.value).jsonObject }
            is TableResult.Unavailable, is TableResult.Unknown -> emptyMap()
        }

    private fun JsonObject.number(field: String): Long = get(field)?.jsonPrimitive?.long ?: 0
}

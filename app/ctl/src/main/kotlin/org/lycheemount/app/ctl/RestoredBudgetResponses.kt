package org.lycheemount.app.ctl

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.lycheemount.budget.BudgetChange
import org.lycheemount.budget.EndedRouter
import org.lycheemount.budget.RestoredBudgetsResult
import org.lycheemount.budget.TokenRelease

private const val OK = 200
private const val NOT_FOUND = 404
private const val CONFLICT = 409
private const val BAD_REQUEST = 400
private const val UNAVAILABLE = 503

/** Returns the router that [text] names as `ROUTER/INCARNATION`, or null if it has another form. */
internal fun parseEndedRouter(text: String): EndedRouter? {
    val incarnation = text.substringAfterLast('/', "").toLongOrNull() ?: return null
    return EndedRouter(text.substringBeforeLast('/'), incarnation)
}

/** Describes [result] in the form of a response of the administration API. */
internal fun describeStatus(result: RestoredBudgetsResult): AdminResponse =
    when (result) {
        is RestoredBudgetsResult.Unavailable -> errorResponse(UNAVAILABLE, "unavailable", result.detail)
        is RestoredBudgetsResult.Found -> AdminResponse(OK, describeFound(result))
    }

private fun describeFound(result: RestoredBudgetsResult.Found): JsonObject =
    buildJsonObject {
        put("hasWitness", result.hasWitness)
        putJsonArray("missingRouters") {
            for (router in result.missingRouters) {
                addJsonObject {
                    put("router", router.identity.processName)
                    put("vmId", router.identity.vmId.value)
                    put("zoneId", router.identity.zoneId.value)
                    put("state", router.state.name.lowercase())
                }
            }
        }
        putJsonArray("budgets") {
            for (budget in result.budgets) {
                addJsonObject {
                    put("budgetId", budget.budgetId.value)
                    put("limitTokens", budget.limitTokens)
                    put("setAsideTokens", budget.setAsideTokens)
                    put("missingGrantTokens", budget.missingGrantTokens)
                }
            }
        }
    }

/** Describes [release] in the form of a response of the administration API. */
internal fun describeRelease(release: TokenRelease): AdminResponse =
    when (release) {
        is TokenRelease.Released -> AdminResponse(OK, buildJsonObject { put("releasedTokens", release.releasedTokens) })
        is TokenRelease.Refused -> errorResponse(CONFLICT, "conflict", "nothing was changed: ${release.detail}")
        is TokenRelease.Failed -> describeFailure(release.change)
    }

private fun describeFailure(change: BudgetChange): AdminResponse =
    when (change) {
        is BudgetChange.Invalid -> errorResponse(BAD_REQUEST, "invalid", "${change.field}: accepted are ${change.acceptedRange}")
        is BudgetChange.NotFound -> errorResponse(NOT_FOUND, "not_found", "the budget does not exist")
        is BudgetChange.Unavailable -> errorResponse(UNAVAILABLE, "unavailable", "nothing was changed: ${change.detail}")
        is BudgetChange.Unknown -> errorResponse(UNAVAILABLE, "outcome_unknown", change.detail)
        is BudgetChange.Applied, is BudgetChange.IdReused -> error("$change is no failure of a release")
    }

package org.lycheemount.measure.control

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.lycheemount.config.ChangeOutcome
import org.lycheemount.config.ChangeRequest
import org.lycheemount.config.ConfigurationStore
import org.lycheemount.config.ItemEdit
import org.lycheemount.config.ItemKey
import org.lycheemount.config.ItemKind

private const val EDITS_PER_CHANGE = 100
private const val WORK_CLASSES = 6

internal fun teamKey(number: Int) = ItemKey(ItemKind.TEAM, "team-$number")

/** Returns a team in JSON with the size that capacity planning assumes: two key hashes and all limits. */
internal fun teamJson(
    key: ItemKey,
    concurrentRequests: Int,
): JsonObject =
    buildJsonObject {
        put("teamId", key.id)
        put("budgetId", "budget-of-${key.id}")
        putJsonArray("keyHashes") {
            for (number in 1..2) add(JsonPrimitive("${key.id}-$number".hashCode().toUInt().toString(16).padStart(64, '0')))
        }
        putJsonObject("limits") {
            put("requestsPerSecond", 250.0)
            put("concurrentRequests", concurrentRequests)
            put("queueShare", 0.25)
        }
    }

private fun workClassJson(id: String) =
    buildJsonObject {
        put("workClassId", id)
        put("firstTokenTargetMs", 580)
        put("completionTargetMs", 60_000)
    }

private fun modelJson(id: String) =
    buildJsonObject {
        put("modelId", id)
        put("version", "2026-11-01")
        put("defaultWorkClassId", "class-0")
    }

/** Writes [teams] teams, [models] models and [WORK_CLASSES] work classes through [store]. */
internal suspend fun writeInitialConfiguration(
    store: ConfigurationStore,
    teams: Int,
    models: Int,
) {
    val workClassKeys = (0 until WORK_CLASSES).map { ItemKey(ItemKind.WORK_CLASS, "class-$it") }
    val modelKeys = (0 until models).map { ItemKey(ItemKind.MODEL, "model-$it") }
    val edits =
        workClassKeys.map { ItemEdit(it, 0, workClassJson(it.id)) } +
            modelKeys.map { ItemEdit(it, 0, modelJson(it.id)) } +
            (0 until teams).map { ItemEdit(teamKey(it), 0, teamJson(teamKey(it), concurrentRequests = 1)) }
    edits.chunked(EDITS_PER_CHANGE).forEachIndexed { number, part ->
        val outcome = store.change(ChangeRequest("initial-$number", "measure", part))
        check(outcome is ChangeOutcome.Accepted) { "initial configuration was not accepted: $outcome" }
    }
}

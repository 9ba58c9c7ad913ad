package org.lycheemount.app.ctl

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull
import org.lycheemount.config.FieldError
import org.lycheemount.config.ItemKey
import org.lycheemount.config.ItemKind
import org.lycheemount.config.isValidId
import org.lycheemount.config.validateItem

/** Prepaid [tokens] in a configuration file. [topUpId] makes applying them idempotent. */
internal data class TopUp(
    val budgetId: String,
    val topUpId: String,
    val tokens: Long,
)

/** Content of a configuration file. */
internal class ConfigurationDocument(
    val items: Map<ItemKey, JsonObject>,
    val budgetIds: List<String>,
    val topUps: List<TopUp>,
)

/** Outcome of reading a configuration file. */
internal sealed interface DocumentResult {
    data class Valid(
        val document: ConfigurationDocument,
    ) : DocumentResult

    data class Invalid(
        val errors: List<FieldError>,
    ) : DocumentResult
}

/**
 * Parses a file of the form `{"workClasses": ..., "models": ..., "services": ..., "teams": ..., "budgets": ...}`. Each section is
 * a list of items or, as in a configuration snapshot, an object that maps ids to items. A budget has a `budgetId` and `tokens`, which
 * are applied once as top-up `initial`, or a list `topUps` of objects with `topUpId` and `tokens`.
 */
internal fun parseDocument(text: String): DocumentResult {
    val root =
        try {
            Json.parseToJsonElement(text) as? JsonObject
        } catch (malformed: SerializationException) {
            null
        } ?: return DocumentResult.Invalid(listOf(FieldError("(file)", "JSON object")))
    return DocumentReader(root).read()
}

private class DocumentReader(
    private val root: JsonObject,
) {
    private val errors = mutableListOf<FieldError>()
    private val items = linkedMapOf<ItemKey, JsonObject>()
    private val budgetIds = mutableListOf<String>()
    private val topUps = mutableListOf<TopUp>()

    fun read(): DocumentResult {
        for (name in root.keys - sections.keys - setOf("budgets", "sequence")) {
            errors += FieldError(name, "no such section; known: ${sections.keys.joinToString()}, budgets")
        }
        for ((name, kind) in sections) readItems(name, kind)
        for ((path, budget) in elements("budgets")) readBudget(path, budget)
        if (errors.isNotEmpty()) return DocumentResult.Invalid(errors)
        return DocumentResult.Valid(ConfigurationDocument(items, budgetIds, topUps))
    }

    private fun readItems(
        section: String,
        kind: ItemKind,
    ) {
        for ((path, body) in elements(section)) {
            val id = (body[kind.idField] as? JsonPrimitive)?.content.orEmpty()
            val key = ItemKey(kind, id)
            validateItem(key, body).forEach { errors += it.copy(field = "$path.${it.field}") }
            if (items.put(key, body) != null) errors += FieldError(path, "at most one $key")
        }
    }

    private fun readBudget(
        path: String,
        budget: JsonObject,
    ) {
        val id = (budget["budgetId"] as? JsonPrimitive)?.content.orEmpty()
        if (!isValidId(id)) errors += FieldError("$path.budgetId", org.lycheemount.config.ID_FORMAT_DESCRIPTION)
        for (name in budget.keys - setOf("budgetId", "tokens", "topUps")) {
            errors += FieldError("$path.$name", "no such field; known: budgetId, tokens, topUps")
        }
        budgetIds += id
        if ("tokens" in budget) readTopUp(path, id, "initial", budget["tokens"])
        val list = budget["topUps"] ?: return
        val entries = (list as? JsonArray)?.map { it as? JsonObject ?: JsonObject(emptyMap()) }
        if (entries == null) errors += FieldError("$path.topUps", "list of objects")
        entries.orEmpty().forEachIndexed { index, entry ->
            val topUpId = (entry["topUpId"] as? JsonPrimitive)?.content.orEmpty()
            readTopUp("$path.topUps[$index]", id, topUpId, entry["tokens"])
        }
    }

    private fun readTopUp(
        path: String,
        budgetId: String,
        topUpId: String,
        tokens: JsonElement?,
    ) {
        val tokenCount = (tokens as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull
        if (!isValidId(topUpId)) errors += FieldError("$path.topUpId", org.lycheemount.config.ID_FORMAT_DESCRIPTION)
        if (tokenCount == null || tokenCount !in 1..MAX_TOKENS) errors += FieldError("$path.tokens", "integer from 1 to $MAX_TOKENS")
        topUps += TopUp(budgetId, topUpId, tokenCount ?: 0)
    }

    private fun elements(section: String): List<Pair<String, JsonObject>> {
        val source = root[section] ?: return emptyList()
        val elements =
            when (source) {
                is JsonArray -> source.mapIndexed { index, element -> "$section[$index]" to element }
                is JsonObject -> source.map { (id, element) -> "$section.$id" to element }
                else -> listOf(section to source)
            }
        return elements.mapNotNull { (path, element) ->
            if (element !is JsonObject) errors += FieldError(path, "JSON object")
            (element as? JsonObject)?.let { path to it }
        }
    }

    private companion object {
        private const val MAX_TOKENS = 1_000_000_000_000_000L

        // Work classes come first, because models and services refer to them.
        private val sections =
            linkedMapOf(
                "workClasses" to ItemKind.WORK_CLASS,
                "models" to ItemKind.MODEL,
                "services" to ItemKind.SERVICE,
                "teams" to ItemKind.TEAM,
            )
    }
}

package org.lycheemount.admin

import io.ktor.http.HttpStatusCode
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.lycheemount.config.ChangeOutcome
import org.lycheemount.config.ChangeRequest
import org.lycheemount.config.ConfigurationChange
import org.lycheemount.config.ConfigurationItem
import org.lycheemount.config.ConfigurationService
import org.lycheemount.config.FieldError
import org.lycheemount.config.ItemEdit
import org.lycheemount.config.ItemKey
import org.lycheemount.config.ItemKind
import org.lycheemount.config.validateItem
import org.lycheemount.platform.TableResult
import java.util.UUID

/** Reads and changes configuration items. */
internal class ItemHandler(
    private val configuration: ConfigurationService,
) {
    /** Lists items of the given kind, or of all kinds. [includeDeleted] adds deleted items, whose body is null. */
    fun list(
        kindName: String?,
        includeDeleted: Boolean,
    ): AdminResponse {
        val kind = kindName?.let { ItemKind.find(it) ?: return unknownKind() }
        val items =
            configuration.replica.page(null, Int.MAX_VALUE).filter {
                (includeDeleted || it.body != null) &&
                    (kind == null || it.key.kind == kind)
            }
        return ok(
            buildJsonObject {
                put("sequence", configuration.current().sequence)
                put("items", JsonArray(items.map(::toJson)))
            },
        )
    }

    fun get(key: ItemKey): AdminResponse {
        val item = configuration.replica.find(key)?.takeIf { it.body != null } ?: return notFound("$key does not exist")
        return ok(toJson(item))
    }

    suspend fun change(
        operator: String,
        changeId: String?,
        edits: List<ItemEdit>,
    ): AdminResponse {
        val id = changeId ?: UUID.randomUUID().toString()
        return toResponse(configuration.store.change(ChangeRequest(id, operator, edits)), id)
    }

    /** Atomically applies a body of the form `{"changeId": text, "edits": [{"kind", "id", "expectedVersion", "body"}]}`. */
    suspend fun changeAll(
        operator: String,
        body: JsonObject,
        validateOnly: Boolean,
    ): AdminResponse {
        val edits =
            when (val result = readEdits(body)) {
                is ReadResult.Value -> result.value
                is ReadResult.Rejected -> return result.response
            }
        if (!validateOnly) return change(operator, body.text("changeId"), edits)
        val errors =
            edits.flatMap { edit ->
                edit.body
                    ?.let { validateItem(edit.key, it) }
                    .orEmpty()
                    .map { it.copy(field = "${edit.key}.${it.field}") }
            }
        return if (errors.isEmpty()) ok(buildJsonObject { put("valid", true) }) else invalid(errors)
    }

    suspend fun republish(
        operator: String,
        changeId: String?,
    ): AdminResponse {
        val id = changeId ?: UUID.randomUUID().toString()
        return toResponse(configuration.store.republish(id, operator), id)
    }

    suspend fun history(
        after: Long,
        limit: Long,
    ): AdminResponse =
        when (val changes = configuration.store.history(after, limit.toInt())) {
            is TableResult.Response -> {
                val list = adminJson.encodeToJsonElement(ListSerializer(ConfigurationChange.serializer()), changes.value)
                ok(buildJsonObject { put("changes", list) })
            }
            is TableResult.Unavailable -> unavailable(changes.detail)
            is TableResult.Unknown -> unavailable(changes.detail)
        }

    fun toResponse(
        outcome: ChangeOutcome,
        changeId: String,
    ): AdminResponse =
        when (outcome) {
            is ChangeOutcome.Accepted ->
                ok(
                    buildJsonObject {
                        put("changeId", changeId)
                        put("sequence", outcome.sequence)
                    },
                )
            is ChangeOutcome.Conflict -> conflict(outcome)
            is ChangeOutcome.Invalid -> invalid(outcome.errors)
            is ChangeOutcome.Unavailable -> unavailable(outcome.detail, changeId)
            is ChangeOutcome.Unknown -> outcomeUnknown(outcome.detail, changeId)
        }

    private fun conflict(outcome: ChangeOutcome.Conflict): AdminResponse {
        val lostItems = configuration.replica.itemsLostByTable().filter { it in outcome.current }
        val hint = if (lostItems.isEmpty()) "" else "; the table was restored and has lost ${lostItems.joinToString()}: republish first"
        val versions = outcome.current.map { (key, version) -> AdminError.ItemVersion(key.kind.wireName, key.id, version) }
        return failed(
            HttpStatusCode.Conflict,
            AdminError.Detail("conflict", "nothing was changed: the expected version is not the current one$hint", current = versions),
        )
    }

    private fun readEdits(body: JsonObject): ReadResult<List<ItemEdit>> {
        val unknownFieldErrors =
            (body.keys - setOf("changeId", "edits")).map {
                FieldError(it.take(64), "unknown field; known fields: changeId, edits")
            }
        val list =
            body["edits"] as? JsonArray ?: return ReadResult.Rejected(invalid(unknownFieldErrors + FieldError("edits", "list of edits")))
        val errors = unknownFieldErrors.toMutableList()
        val edits = list.mapIndexedNotNull { index, element -> readEdit("edits[$index]", element, errors) }
        return if (errors.isEmpty()) ReadResult.Value(edits) else ReadResult.Rejected(invalid(errors))
    }

    private fun readEdit(
        path: String,
        element: JsonElement,
        errors: MutableList<FieldError>,
    ): ItemEdit? {
        val fields = element as? JsonObject ?: JsonObject(emptyMap())
        val kind = fields.text("kind")?.let(ItemKind::find)
        val id = fields.text("id")
        val version = fields.long("expectedVersion")?.takeIf { it >= 0 }
        val body = fields["body"]
        if (kind == null) errors += FieldError("$path.kind", acceptedKinds)
        if (id == null) errors += FieldError("$path.id", "text")
        if (version == null) errors += FieldError("$path.expectedVersion", "integer from 0 to ${Long.MAX_VALUE}")
        if (body !is JsonObject && body != JsonNull) errors += FieldError("$path.body", "JSON object, or null to delete the item")
        return if (kind == null || id == null || version == null) null else ItemEdit(ItemKey(kind, id), version, body as? JsonObject)
    }

    private fun toJson(item: ConfigurationItem) =
        buildJsonObject {
            put("kind", item.key.kind.wireName)
            put("id", item.key.id)
            put("version", item.version)
            put("body", item.body ?: JsonNull)
        }
}

internal val acceptedKinds = "one of ${ItemKind.entries.joinToString { it.wireName }}"

internal fun unknownKind() = invalid(FieldError("kind", acceptedKinds))

package org.lycheemount.config

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** JSON format of configuration rows and files. Unknown fields are ignored, because a newer router may have written the row. */
internal val rowJson = Json { ignoreUnknownKeys = true }

internal fun referencedWorkClassId(body: JsonObject): String? = (body["defaultWorkClassId"] as? JsonPrimitive)?.content

/** Decodes items into the maps of a snapshot. */
internal class SnapshotBuilder(
    base: ConfigurationSnapshot,
) {
    private val teams = base.teams.toMutableMap()
    private val workClasses = base.workClasses.toMutableMap()
    private val models = base.models.toMutableMap()
    private val services = base.services.toMutableMap()

    fun put(item: ConfigurationItem) {
        when (item.key.kind) {
            ItemKind.TEAM -> teams.set(item, org.lycheemount.common.TeamId(item.key.id), Team.serializer())
            ItemKind.WORK_CLASS -> workClasses.set(item, org.lycheemount.common.WorkClassId(item.key.id), WorkClass.serializer())
            ItemKind.MODEL -> models.set(item, org.lycheemount.common.ModelId(item.key.id), Model.serializer())
            ItemKind.SERVICE -> services.set(item, org.lycheemount.common.ServiceId(item.key.id), PlainService.serializer())
        }
    }

    fun build(sequence: Long) = ConfigurationSnapshot(sequence, teams.toMap(), workClasses.toMap(), models.toMap(), services.toMap())

    private fun <K, V> MutableMap<K, V>.set(
        item: ConfigurationItem,
        id: K,
        serializer: KSerializer<V>,
    ) {
        if (item.body == null) remove(id) else put(id, rowJson.decodeFromJsonElement(serializer, item.body))
    }
}

package org.lycheemount.admin

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.lycheemount.common.TeamId
import org.lycheemount.config.ConfigurationService
import org.lycheemount.config.ItemEdit
import org.lycheemount.config.ItemKey
import org.lycheemount.config.ItemKind
import org.lycheemount.config.hashKey
import java.security.SecureRandom
import java.util.Base64

/** Creates and revokes the bearer keys of teams. A key is returned only once, in the response to its creation. */
internal class TeamKeyHandler(
    private val configuration: ConfigurationService,
    private val items: ItemHandler,
) {
    suspend fun create(
        operator: String,
        teamId: TeamId,
    ): AdminResponse {
        val key = "lm-" + Base64.getUrlEncoder().withoutPadding().encodeToString(ByteArray(KEY_BYTES).also { random.nextBytes(it) })
        val hash = hashKey(key)
        val response = changeKeyHashes(operator, teamId) { it + hash }
        if (response.status.value != HTTP_OK) return response
        val body = (response.body as JsonObject) + mapOf("key" to JsonPrimitive(key), "keySha256" to JsonPrimitive(hash))
        return response.copy(body = JsonObject(body))
    }

    suspend fun revoke(
        operator: String,
        teamId: TeamId,
        keySha256: String,
    ): AdminResponse {
        val team = configuration.replica.find(ItemKey(ItemKind.TEAM, teamId.value))?.body
        if (team != null && keySha256 !in keyHashesOf(team)) return notFound("team ${teamId.value} has no such key")
        return changeKeyHashes(operator, teamId) { it - keySha256 }
    }

    private suspend fun changeKeyHashes(
        operator: String,
        teamId: TeamId,
        transform: (List<String>) -> List<String>,
    ): AdminResponse {
        val key = ItemKey(ItemKind.TEAM, teamId.value)
        val item = configuration.replica.find(key)
        val body = item?.body ?: return notFound("$key does not exist")
        val changedBody = JsonObject(body + ("keyHashes" to JsonArray(transform(keyHashesOf(body)).map(::JsonPrimitive))))
        return items.change(operator, changeId = null, listOf(ItemEdit(key, item.version, changedBody)))
    }

    private fun keyHashesOf(body: JsonObject): List<String> =
        (body["keyHashes"] as? JsonArray).orEmpty().map { (it as JsonPrimitive).content }

    private companion object {
        private const val KEY_BYTES = 32
        private const val HTTP_OK = 200
        private val random = SecureRandom()
    }
}

package org.lycheemount.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.writeByte
import kotlinx.coroutines.delay
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

internal val standInJson =
    Json {
        encodeDefaults = true
        ignoreUnknownKeys = false
    }

internal suspend fun <T> ApplicationCall.respondJson(
    serializer: SerializationStrategy<T>,
    value: T,
) = respondText(standInJson.encodeToString(serializer, value), ContentType.Application.Json)

/** Decodes the body, or responds 400 and returns null. */
internal suspend fun <T> ApplicationCall.receiveJson(deserializer: DeserializationStrategy<T>): T? =
    try {
        standInJson.decodeFromString(deserializer, receiveText())
    } catch (failure: SerializationException) {
        respondText(failure.message.orEmpty(), status = HttpStatusCode.BadRequest)
        null
    }

/** Returns [current] with the fields of the body replaced, or responds 400 and returns null. */
internal suspend fun <T> ApplicationCall.receiveChanges(
    serializer: KSerializer<T>,
    current: T,
): T? {
    val changes = receiveJson(JsonObject.serializer()) ?: return null
    val merged = JsonObject(standInJson.encodeToJsonElement(serializer, current).jsonObject + changes)
    return try {
        standInJson.decodeFromJsonElement(serializer, merged)
    } catch (failure: SerializationException) {
        respondText(failure.message.orEmpty(), status = HttpStatusCode.BadRequest)
        null
    }
}

/** Closes the connection in the middle of the response, so that the client cannot know the outcome of its request. */
internal suspend fun ApplicationCall.dropResponse() =
    respondBytesWriter(contentLength = DROPPED_RESPONSE_LENGTH) {
        writeByte('{'.code.toByte())
        flush()
        delay(DROPPED_RESPONSE_DELAY_MS)
        throw DroppedResponseException()
    }

internal class DroppedResponseException : java.io.IOException("injected loss of the response")

private const val DROPPED_RESPONSE_LENGTH = 1_000L

// The CIO server leaves the connection open if a response fails before its head has been sent.
private const val DROPPED_RESPONSE_DELAY_MS = 50L

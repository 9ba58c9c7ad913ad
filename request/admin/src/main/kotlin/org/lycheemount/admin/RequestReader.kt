package org.lycheemount.admin

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull
import org.lycheemount.config.FieldError

/** A value read from a request, or the response that rejects the request. */
internal sealed interface ReadResult<out T> {
    data class Value<T>(
        val value: T,
    ) : ReadResult<T>

    data class Rejected(
        val response: AdminResponse,
    ) : ReadResult<Nothing>
}

internal class RequestReader(
    private val maxBodyBytes: Int,
) {
    /** Reads the body as a JSON object, subject to a size limit and a timeout. */
    suspend fun jsonObject(call: ApplicationCall): ReadResult<JsonObject> {
        if ((call.request.contentLength() ?: 0) > maxBodyBytes) return tooLarge()
        val bytes =
            withTimeoutOrNull(BODY_TIMEOUT_MS) { call.receiveChannel().readRemaining(maxBodyBytes + 1L).readByteArray() }
                ?: return ReadResult.Rejected(invalid(FieldError("body", "a body that is complete within $BODY_TIMEOUT_MS ms")))
        if (bytes.size > maxBodyBytes) return tooLarge()
        val element = parse(bytes.decodeToString())
        return if (element is JsonObject) ReadResult.Value(element) else ReadResult.Rejected(invalid(FieldError("body", "JSON object")))
    }

    private fun parse(text: String): JsonElement? =
        try {
            Json.parseToJsonElement(text)
        } catch (malformed: SerializationException) {
            null
        }

    private fun tooLarge(): ReadResult.Rejected {
        val detail = AdminError.Detail("too_large", "nothing was changed", listOf(FieldError("body", "up to $maxBodyBytes bytes")))
        return ReadResult.Rejected(failed(HttpStatusCode.PayloadTooLarge, detail))
    }

    private companion object {
        private const val BODY_TIMEOUT_MS = 10_000L
    }
}

/** Reads an integer query parameter. */
internal fun ApplicationCall.queryLong(
    name: String,
    range: LongRange,
    default: Long? = null,
): ReadResult<Long> {
    val text = request.queryParameters[name]
    val value = if (text == null) default else text.toLongOrNull()
    if (value != null && value in range) return ReadResult.Value(value)
    return ReadResult.Rejected(invalid(FieldError(name, "integer from ${range.first} to ${range.last}")))
}

internal fun JsonObject.long(name: String): Long? = (this[name] as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull

internal fun JsonObject.text(name: String): String? = (this[name] as? JsonPrimitive)?.takeIf { it.isString }?.content

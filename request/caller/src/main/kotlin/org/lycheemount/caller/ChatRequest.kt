package org.lycheemount.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason

/** Body of `POST /v1/chat/completions`; unknown fields are ignored. */
@Serializable
internal data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    val stream: Boolean = false,
    @SerialName("stream_options") val streamOptions: StreamOptions? = null,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    @SerialName("max_completion_tokens") val maxCompletionTokens: Int? = null,
    val n: Int? = null,
)

@Serializable
internal data class StreamOptions(
    @SerialName("include_usage") val includeUsage: Boolean = false,
)

@Serializable
internal data class ChatMessage(
    val role: String,
    val content: JsonElement = JsonNull,
)

private val requestJson =
    Json {
        ignoreUnknownKeys = true
        explicitNulls = false
    }

internal fun parseChatRequest(body: ByteArray): Result<ChatRequest, Refusal> {
    val request =
        try {
            requestJson.decodeFromString<ChatRequest>(body.decodeToString())
        } catch (exception: SerializationException) {
            return invalid("body is not a chat completion request: ${exception.message?.lineSequence()?.first()}")
        } catch (exception: IllegalArgumentException) {
            return invalid("body is not a chat completion request: ${exception.message?.lineSequence()?.first()}")
        }
    val violation = findViolation(request)
    return if (violation == null) Ok(request) else invalid(violation)
}

private fun findViolation(request: ChatRequest): String? {
    val maxTokens = request.maxCompletionTokens ?: request.maxTokens
    return when {
        request.messages.isEmpty() -> "messages: at least 1 is required"
        request.n != null && request.n != 1 -> "n: must be 1"
        maxTokens != null && maxTokens < 1 -> "max_tokens: accepted are 1 or more"
        request.messages.any { it.text() == null } -> "messages: only text parts are supported"
        else -> null
    }
}

/** Returns the text of the message, given as a string or a list of text parts; null if a part is of another type. */
internal fun ChatMessage.text(): String? =
    when (content) {
        is JsonNull -> ""
        is JsonPrimitive -> content.contentOrNull
        is JsonArray -> content.map { partText(it) ?: return null }.joinToString("")
        is JsonObject -> null
    }

private fun partText(part: JsonElement): String? = ((part as? JsonObject)?.get("text") as? JsonPrimitive)?.contentOrNull

private fun invalid(detail: String) = Err(Refusal(RefusalReason.INVALID_REQUEST, detail))

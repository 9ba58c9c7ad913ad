package org.lycheemount.caller

import kotlinx.serialization.json.JsonPrimitive
import org.lycheemount.common.Refusal
import org.lycheemount.common.RequestId

/**
 * Renders responses in the format of OpenAI's chat completions API. Constant parts are rendered once because a chunk is rendered
 * for each token.
 */
internal class ChatResponseWriter(
    requestId: RequestId,
    model: String,
    createdAtSeconds: Long,
    private val includeUsageChunk: Boolean,
) {
    private val id = JsonPrimitive(requestId.value).toString()
    private val modelName = JsonPrimitive(model).toString()
    private val commonFields = """"id":$id,"created":$createdAtSeconds,"model":$modelName"""
    private val chunkPrefix = """data: {$commonFields,"object":"chat.completion.chunk","choices":["""
    private var roleSent = false

    /** Renders [tokens] as one server-sent event. */
    fun tokens(tokens: List<String>): String {
        val role = if (roleSent) "" else """"role":"assistant","""
        roleSent = true
        val content = JsonPrimitive(if (tokens.size == 1) tokens[0] else tokens.joinToString("")).toString()
        return """$chunkPrefix{"index":0,"delta":{$role"content":$content},"finish_reason":null}]}$EVENT_END"""
    }

    /** Renders the end of a stream: finish reason, usage, `[DONE]`. */
    fun streamEnd(
        finishReason: String,
        usage: Usage,
    ): String {
        val finish = """{"index":0,"delta":{},"finish_reason":${JsonPrimitive(finishReason)}}"""
        val last =
            if (includeUsageChunk) {
                """$chunkPrefix$finish]}$EVENT_END$chunkPrefix],"usage":${usage.render()}}$EVENT_END"""
            } else {
                """$chunkPrefix$finish],"usage":${usage.render()}}$EVENT_END"""
            }
        return last + "data: [DONE]$EVENT_END"
    }

    /** Renders an error event, after which the stream ends without `[DONE]`. */
    fun streamError(refusal: Refusal): String = "data: ${errorBody(refusal, WireOutcome.RAN)}$EVENT_END"

    /** Renders a response that is not streamed. */
    fun nonStreamingResponse(
        content: String,
        finishReason: String,
        usage: Usage,
    ): String {
        val message = """{"role":"assistant","content":${JsonPrimitive(content)}}"""
        val choice = """{"index":0,"message":$message,"finish_reason":${JsonPrimitive(finishReason)}}"""
        return """{$commonFields,"object":"chat.completion","choices":[$choice],"usage":${usage.render()}}"""
    }

    private companion object {
        private const val EVENT_END = "\n\n"
    }
}

/** Billed tokens as reported to the caller. */
internal class Usage(
    private val promptTokens: Int,
    private val completionTokens: Int,
    private val cachedPromptTokens: Int,
) {
    fun render(): String =
        """{"prompt_tokens":$promptTokens,"completion_tokens":$completionTokens,"total_tokens":${promptTokens + completionTokens},""" +
            """"prompt_tokens_details":{"cached_tokens":$cachedPromptTokens}}"""
}

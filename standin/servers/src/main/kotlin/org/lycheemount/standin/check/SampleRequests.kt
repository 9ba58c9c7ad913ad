package org.lycheemount.standin.check

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.lycheemount.standin.ServiceCounters
import org.lycheemount.standin.enginemodel.OutputTokens
import org.lycheemount.standin.standInJson

/**
 * Sends each kind of request to a different router, and retries the order at another one.
 *
 * @property billedTokens expected tokens of each bill, by request id.
 */
internal class SampleRequests(
    private val deployment: Deployment,
    private val client: CheckClient,
    private val report: CheckReport,
    private val team: String,
) {
    val billedTokens = LinkedHashMap<String, Long>()
    private val model =
        deployment.configuration.models.keys
            .first()
            .value
    private val service =
        deployment.configuration.services.values
            .first()
    private val orderPath =
        service.routes
            .first { !it.isIdempotent }
            .pathPrefix

    suspend fun sendAll() {
        checkNonStreamingCompletion()
        checkStreamedCompletion()
        checkServiceRead()
        checkOrderAndRetry()
    }

    private suspend fun checkNonStreamingCompletion() {
        report.show("non-streaming completion at router 1")
        val content = "Summarise the day in forty words. [[tokens=40]]"
        val response = send(0, "POST", "/v1/chat/completions", completion(content, stream = false)) ?: return
        val body = parse(response.body)?.jsonObject
        val choice =
            body
                ?.get("choices")
                ?.jsonArray
                ?.firstOrNull()
                ?.jsonObject
        val text = choice?.get("message")?.jsonObject?.text("content")
        checkCompletion(response, content, text, body?.get("usage")?.jsonObject)
    }

    private suspend fun checkStreamedCompletion() {
        report.show("streaming completion at router 2")
        val content = "Draft a letter to the workshop. [[tokens=60]]"
        val response = send(1, "POST", "/v1/chat/completions", completion(content, stream = true)) ?: return
        val events =
            response.body
                .split("\n\n")
                .filter { it.startsWith("data: ") }
                .map { it.removePrefix("data: ").trim() }
        val chunks = events.dropLast(1).mapNotNull { parse(it)?.jsonObject }
        val text = chunks.joinToString("") { deltaOf(it) }
        report.compare("last event", "[DONE]", events.lastOrNull())
        checkCompletion(response, content, text, chunks.lastOrNull()?.get("usage") as? JsonObject)
    }

    private fun checkCompletion(
        response: CheckResponse,
        content: String,
        text: String?,
        usage: JsonObject?,
    ) {
        val prompt = "user: $content"
        val tokens = OutputTokens.naturalLength(prompt)
        report.show("  response: ${text?.take(SHOWN_CHARS)}...")
        report.compare("status", 200, response.status)
        report.compare("complete text", OutputTokens.tokens(prompt, 0, tokens).joinToString(""), text)
        report.compare("completion tokens", tokens.toLong(), usage?.get("completion_tokens")?.jsonPrimitive?.long)
        val total = usage?.get("total_tokens")?.jsonPrimitive?.long ?: return
        response.requestId?.let { billedTokens[it] = total }
    }

    private suspend fun checkServiceRead() {
        report.show("service read at router 3")
        val response = send(2, "GET", "/services/${service.serviceId.value}/records/42") ?: return
        checkServiceCall(response)
    }

    private suspend fun checkOrderAndRetry() {
        val key = "check-${System.currentTimeMillis()}"
        val path = "/services/${service.serviceId.value}$orderPath"
        val body = """{"businessKey":"$key","quantity":1}"""
        val headers = mapOf("idempotency-key" to key, "content-type" to "application/json")
        report.show("order at router 4")
        val first = send(3, "POST", path, body, headers) ?: return
        checkServiceCall(first)
        report.show("the same order again at router 5")
        val second = send(4, "POST", path, body, headers) ?: return
        report.show("  response: ${second.body}")
        report.compare("response to the retry", first.body, second.body)
        val counters = client.send("GET", "http://${deployment.services.host}:${deployment.services.servers.first().port}/counters")
        val executions = counters?.let { standInJson.decodeFromString(ServiceCounters.serializer(), it.body) }?.byBusinessKey?.get(key)
        report.compare("executions of the order at the service", 1, executions)
    }

    private fun checkServiceCall(response: CheckResponse) {
        report.show("  response: ${response.body}")
        report.compare("status", 200, response.status)
        report.compare("outcome", "ran", response.outcome)
        response.requestId?.let { billedTokens[it] = service.callPriceTokens }
    }

    private suspend fun send(
        router: Int,
        method: String,
        path: String,
        body: String? = null,
        headers: Map<String, String> = emptyMap(),
    ): CheckResponse? {
        val url = deployment.routerUrls[router] + path
        val response = client.send(method, url, headers + ("authorization" to "Bearer ${deployment.keyOf(team)}"), body)
        if (response == null) report.compare("response", "complete", "none")
        return response
    }

    private fun completion(
        content: String,
        stream: Boolean,
    ): String =
        buildJsonObject {
            put("model", model)
            put("stream", stream)
            put("max_tokens", MAX_TOKENS)
            putJsonArray("messages") {
                addJsonObject {
                    put("role", "user")
                    put("content", content)
                }
            }
        }.toString()

    private fun deltaOf(chunk: JsonObject): String =
        chunk["choices"]
            ?.jsonArray
            ?.firstOrNull()
            ?.jsonObject
            ?.get("delta")
            ?.jsonObject
            ?.text("content")
            .orEmpty()

    private fun JsonObject.text(field: String): String? = get(field)?.jsonPrimitive?.content

    private fun parse(text: String): JsonElement? =
        try {
            standInJson.parseToJsonElement(text)
        } catch (failure: SerializationException) {
            null
        }

    private companion object {
        private const val SHOWN_CHARS = 60
        private const val MAX_TOKENS = 200
    }
}

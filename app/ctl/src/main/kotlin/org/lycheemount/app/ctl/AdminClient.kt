package org.lycheemount.app.ctl

import io.ktor.client.HttpClient
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject

/** Response of the administration API. A failed connection is represented by status 503. */
internal class AdminResponse(
    val status: Int,
    val body: JsonObject,
) {
    val isSuccess: Boolean get() = status in 200..299

    val exitCode: ExitCode
        get() =
            when {
                isSuccess -> ExitCode.OK
                status == CONFLICT -> ExitCode.CONFLICT
                status >= SERVER_ERROR -> ExitCode.UNAVAILABLE
                else -> ExitCode.REFUSED
            }

    private companion object {
        private const val CONFLICT = 409
        private const val SERVER_ERROR = 500
    }
}

/** Returns an error in the form of the administration API. */
internal fun errorResponse(
    status: Int,
    reason: String,
    detail: String,
) = AdminResponse(
    status,
    buildJsonObject {
        putJsonObject("error") {
            put("reason", reason)
            put("detail", detail)
        }
    },
)

/** Calls the administration API at [url] with [key]. */
internal class AdminClient(
    private val http: HttpClient,
    private val url: String,
    private val key: String,
    private val retryDelayMs: Long = 2_000,
) {
    suspend fun get(path: String): AdminResponse = send("GET", path, null)

    /** Sends a change and retries it while its outcome is unknown. The change must be idempotent, for example by carrying an id. */
    suspend fun sendWithRetry(
        method: String,
        path: String,
        body: JsonObject? = null,
    ): AdminResponse {
        repeat(MAX_RETRIES) {
            val response = send(method, path, body)
            if (response.reason() != "outcome_unknown" && response.reason() != "unreachable") return response
            delay(retryDelayMs)
        }
        return send(method, path, body)
    }

    suspend fun send(
        method: String,
        path: String,
        body: JsonObject?,
    ): AdminResponse =
        try {
            val response =
                http.request("${url.trimEnd('/')}/admin/v1$path") {
                    this.method = HttpMethod(method)
                    header(HttpHeaders.Authorization, "Bearer $key")
                    if (body != null) {
                        contentType(ContentType.Application.Json)
                        setBody(body.toString())
                    }
                }
            AdminResponse(response.status.value, Json.parseToJsonElement(response.bodyAsText()) as JsonObject)
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            unreachableResponse(failure)
        }

    private fun AdminResponse.reason(): String? = ((body["error"] as? JsonObject)?.get("reason") as? JsonPrimitive)?.content

    private fun unreachableResponse(failure: Exception) =
        errorResponse(status = 503, "unreachable", "$url: ${failure.message ?: failure.javaClass.simpleName}")

    private companion object {
        private const val MAX_RETRIES = 3
    }
}

private const val REQUEST_TIMEOUT_MS = 30_000L
private const val CONNECT_TIMEOUT_MS = 3_000L

/** Creates the HTTP client. Its request timeout allows for the time that a router spends on resolving the outcome of a change. */
internal fun createHttpClient(trust: javax.net.ssl.TrustManager?): HttpClient =
    HttpClient(io.ktor.client.engine.cio.CIO) {
        engine { if (trust != null) https { trustManager = trust } }
        install(HttpTimeout) {
            requestTimeoutMillis = REQUEST_TIMEOUT_MS
            connectTimeoutMillis = CONNECT_TIMEOUT_MS
        }
    }

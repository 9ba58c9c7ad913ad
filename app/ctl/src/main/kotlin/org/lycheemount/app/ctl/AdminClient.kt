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

/** Answer of the administration API; connection failures have status 503. */
internal class AdminAnswer(
    val status: Int,
    val body: JsonObject,
) {
    val isOk: Boolean get() = status in 200..299

    val exitCode: ExitCode
        get() =
            when {
                isOk -> ExitCode.OK
                status == CONFLICT -> ExitCode.CONFLICT
                status >= SERVER_ERROR -> ExitCode.UNAVAILABLE
                else -> ExitCode.REFUSED
            }

    private companion object {
        private const val CONFLICT = 409
        private const val SERVER_ERROR = 500
    }
}

/** Calls the administration API at [url] with [key]. */
internal class AdminClient(
    private val http: HttpClient,
    private val url: String,
    private val key: String,
    private val retryMs: Long = 2_000,
) {
    suspend fun get(path: String): AdminAnswer = call("GET", path, null)

    /** Sends a change that is safe to repeat, because it names an id, and repeats it while its outcome is not known. */
    suspend fun change(
        method: String,
        path: String,
        body: JsonObject? = null,
    ): AdminAnswer {
        repeat(MAX_REPEATS) {
            val answer = call(method, path, body)
            if (answer.reason() != "outcome_unknown" && answer.reason() != "unreachable") return answer
            delay(retryMs)
        }
        return call(method, path, body)
    }

    suspend fun call(
        method: String,
        path: String,
        body: JsonObject?,
    ): AdminAnswer =
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
            AdminAnswer(response.status.value, Json.parseToJsonElement(response.bodyAsText()) as JsonObject)
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            unreachable(failure)
        }

    private fun AdminAnswer.reason(): String? = ((body["error"] as? JsonObject)?.get("reason") as? JsonPrimitive)?.content

    private fun unreachable(failure: Exception) =
        AdminAnswer(
            status = 503,
            buildJsonObject {
                putJsonObject("error") {
                    put("reason", "unreachable")
                    put("detail", "$url: ${failure.message ?: failure.javaClass.simpleName}")
                }
            },
        )

    private companion object {
        private const val MAX_REPEATS = 3
    }
}

private const val REQUEST_TIMEOUT_MS = 30_000L
private const val CONNECT_TIMEOUT_MS = 3_000L

/** Creates the HTTP client; a change may take its whole resolve time at the router, so requests may last that long. */
internal fun createHttpClient(trust: javax.net.ssl.TrustManager?): HttpClient =
    HttpClient(io.ktor.client.engine.cio.CIO) {
        engine { if (trust != null) https { trustManager = trust } }
        install(HttpTimeout) {
            requestTimeoutMillis = REQUEST_TIMEOUT_MS
            connectTimeoutMillis = CONNECT_TIMEOUT_MS
        }
    }

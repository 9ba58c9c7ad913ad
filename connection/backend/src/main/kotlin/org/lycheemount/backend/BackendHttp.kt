package org.lycheemount.backend

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.plugins.defaultRequest
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.lycheemount.common.BackendServer
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException

/** HTTP client for backend servers. It never retries a request. */
class BackendHttp(
    connectTimeoutMs: Long = DEFAULT_CONNECT_TIMEOUT_MS,
    private val controlTimeoutMs: Long = DEFAULT_CONTROL_TIMEOUT_MS,
) : AutoCloseable {
    internal val json = Json { ignoreUnknownKeys = true }
    internal val connections = BackendConnections(connectTimeoutMs)

    // Each request uses its own connection, so that a connect failure certainly had no effect at the server.
    internal val client =
        HttpClient(CIO) {
            expectSuccess = false
            // Without this header, a server that fails in the middle of a response may leave the connection open, which would look
            // as if more bytes were to follow.
            defaultRequest { headers.append(HttpHeaders.Connection, "close") }
            followRedirects = false
            engine {
                requestTimeout = 0
                maxConnectionsCount = MAX_CONNECTIONS
                endpoint {
                    connectTimeout = connectTimeoutMs
                    maxConnectionsPerRoute = MAX_CONNECTIONS
                }
            }
        }

    /** Sends a control request; returns the body of a successful response, or null. */
    internal suspend fun sendControlRequest(
        server: BackendServer,
        httpMethod: HttpMethod,
        path: String,
        body: String? = null,
        timeoutMs: Long = controlTimeoutMs,
    ): String? =
        try {
            withTimeoutOrNull(timeoutMs) {
                val response =
                    client.request(urlOf(server, path)) {
                        method = httpMethod
                        if (body != null) setJson(body)
                    }
                response.bodyAsText().takeIf { response.status.value in SUCCESS_STATUSES }
            }
        } catch (failure: Exception) {
            currentCoroutineContext().ensureActive()
            null
        }

    /** Whether [server] refuses connections, as it does while no process listens on its port. False if it does not respond at all. */
    suspend fun refusesConnections(server: BackendServer): Boolean = connections.areRefusedBy(server)

    override fun close() {
        connections.close()
        client.close()
    }

    /** Defaults and limits. */
    companion object {
        private const val DEFAULT_CONNECT_TIMEOUT_MS = 1_000L
        private const val DEFAULT_CONTROL_TIMEOUT_MS = 1_000L
        private const val MAX_CONNECTIONS = 4_096
        private val SUCCESS_STATUSES = 200..299
    }
}

internal fun urlOf(
    server: BackendServer,
    pathAndQuery: String,
): String = "http://${server.host}:${server.port}$pathAndQuery"

internal fun HttpRequestBuilder.setJson(body: String) {
    contentType(ContentType.Application.Json)
    setBody(body)
}

internal fun toAttemptFailure(failure: Throwable): AttemptFailure {
    val causes = generateSequence(failure) { it.cause }.take(MAX_CAUSE_DEPTH)
    val connectFailed = causes.any { it is ConnectException || it is UnresolvedAddressException }
    return if (connectFailed) AttemptFailure.CONNECT_FAILED else AttemptFailure.BROKEN_CONNECTION
}

/** Header that a backend server sends if it rejected a request before running it. */
const val REFUSED_HEADER: String = "x-refused"

/** Value of [REFUSED_HEADER] from a server that is shutting down. */
const val REFUSED_LEAVING: String = "leaving"

/** Value of [REFUSED_HEADER] from a server that has no free capacity or has not loaded the model. */
const val REFUSED_BUSY: String = "busy"

/** Parses the value of [REFUSED_HEADER]; returns null if the server did not reject the request. */
internal fun parseRefusal(headerValue: String?): AttemptFailure? =
    when (headerValue) {
        null -> null
        REFUSED_LEAVING -> AttemptFailure.REFUSED_LEAVING
        else -> AttemptFailure.REFUSED_BUSY
    }

private const val MAX_CAUSE_DEPTH = 8

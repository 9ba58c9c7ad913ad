package org.lycheemount.backend

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.lycheemount.common.BackendServer
import org.lycheemount.common.ConnectFailedException
import java.io.IOException

/** HTTP client for backend servers. It never retries a request. */
class BackendHttp internal constructor(
    internal val connections: BackendConnections,
    private val controlTimeoutMs: Long = DEFAULT_CONTROL_TIMEOUT_MS,
) : AutoCloseable {
    internal val json = Json { ignoreUnknownKeys = true }

    private val client = DefaultPassThroughClient(this)

    constructor(
        connectTimeoutMs: Long = DEFAULT_CONNECT_TIMEOUT_MS,
        controlTimeoutMs: Long = DEFAULT_CONTROL_TIMEOUT_MS,
    ) : this(BackendConnections(connectTimeoutMs), controlTimeoutMs)

    /** Sends a control request; returns the body of a successful response of up to [MAX_CONTROL_RESPONSE_BYTES], or null. */
    internal suspend fun sendControlRequest(
        server: BackendServer,
        httpMethod: HttpMethod,
        path: String,
        body: String? = null,
        timeoutMs: Long = controlTimeoutMs,
    ): String? =
        try {
            withTimeoutOrNull(timeoutMs) { exchange(server, toCall(httpMethod, path, body)) }
        } catch (failure: IOException) {
            currentCoroutineContext().ensureActive()
            null
        }

    private suspend fun exchange(
        server: BackendServer,
        call: PassThroughCall,
    ): String? {
        val outcome =
            client.exchange(server, call) { response ->
                val bytes = response.body.readUpTo(MAX_CONTROL_RESPONSE_BYTES + 1)
                val isValid = response.head.httpStatus in SUCCESS_STATUSES && bytes.size <= MAX_CONTROL_RESPONSE_BYTES
                if (isValid) bytes.decodeToString() else null
            }
        return (outcome as? PassThroughOutcome.Completed)?.result
    }

    private fun toCall(
        httpMethod: HttpMethod,
        path: String,
        body: String?,
    ) = PassThroughCall(
        method = httpMethod.value,
        target = path,
        headers = if (body == null) emptyList() else listOf(HttpHeaders.ContentType to ContentType.Application.Json.toString()),
        body = body.orEmpty().encodeToByteArray(),
        needsNewConnection = true,
    )

    /** Whether [server] refuses connections, as it does while no process listens on its port. False if it does not respond. */
    suspend fun refusesConnections(server: BackendServer): Boolean = connections.areRefusedBy(server)

    override fun close() = connections.close()

    /** Defaults and limits. */
    companion object {
        private const val DEFAULT_CONNECT_TIMEOUT_MS = 1_000L
        private const val DEFAULT_CONTROL_TIMEOUT_MS = 1_000L
        private const val MAX_CONTROL_RESPONSE_BYTES = 16_777_216
        private val SUCCESS_STATUSES = 200..299
    }
}

internal fun toAttemptFailure(failure: Throwable): AttemptFailure =
    if (failure is ConnectFailedException) AttemptFailure.CONNECT_FAILED else AttemptFailure.BROKEN_CONNECTION

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

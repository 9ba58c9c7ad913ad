package org.lycheemount.platform.http

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.plugins.defaultRequest
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.contentLength
import io.ktor.http.contentType
import io.ktor.utils.io.readAvailable
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.lycheemount.platform.TableResult
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException

/**
 * Sends requests to the platform without retries and distinguishes definite failures from unknown outcomes.
 *
 * @param callTimeoutMs timeout of a call that sets none, and of responses that make no progress.
 */
class PlatformHttp(
    private val callTimeoutMs: Long,
) : PlatformTransport,
    AutoCloseable {
    internal val json = Json { ignoreUnknownKeys = true }

    // Each request uses its own connection. A keep-alive connection that the platform has closed in the meantime would turn a
    // definite failure into an unknown outcome.
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            // Without this header, a server that fails in the middle of a response may leave the connection open, which would look
            // as if more bytes were to follow.
            defaultRequest { headers.append(HttpHeaders.Connection, "close") }
            engine {
                requestTimeout = 0
                endpoint { connectTimeout = callTimeoutMs }
            }
        }

    override suspend fun exchange(
        httpMethod: HttpMethod,
        url: String,
        body: ByteArray?,
        bodyType: ContentType,
        timeoutMs: Long?,
        maxBytes: Int,
        onResponse: () -> Unit,
    ): PlatformExchange {
        val effectiveTimeoutMs = timeoutMs ?: callTimeoutMs
        return try {
            withTimeoutUntilStarted(effectiveTimeoutMs) { onStarted ->
                send(httpMethod, url, body, bodyType, maxBytes) {
                    onStarted()
                    onResponse()
                }
            }
                ?: PlatformExchange.Lost("no response within $effectiveTimeoutMs ms")
        } catch (failure: Exception) {
            currentCoroutineContext().ensureActive()
            if (isConnectFailure(failure)) PlatformExchange.NotSent("cannot connect") else PlatformExchange.Lost("connection broken")
        }
    }

    /** Decodes a response. A lost response to a request that [isReadOnly] counts as unavailable, since the request has no effect. */
    internal fun <T> toResult(
        exchange: PlatformExchange,
        isReadOnly: Boolean,
        decode: (PlatformExchange.Response) -> T,
    ): TableResult<T> =
        when (exchange) {
            is PlatformExchange.NotSent -> TableResult.Unavailable(exchange.detail)
            is PlatformExchange.Lost -> uncertainResult(exchange.detail, isReadOnly)
            is PlatformExchange.TooLong -> uncertainResult("response too long", isReadOnly)
            is PlatformExchange.Response -> decodeResponse(exchange, isReadOnly, decode)
        }

    internal fun <T> decodeJson(
        response: PlatformExchange.Response,
        deserializer: DeserializationStrategy<T>,
    ): T = json.decodeFromString(deserializer, response.body.decodeToString())

    override fun close() = client.close()

    private suspend fun send(
        httpMethod: HttpMethod,
        url: String,
        body: ByteArray?,
        bodyType: ContentType,
        maxBytes: Int,
        onResponse: () -> Unit,
    ): PlatformExchange =
        client
            .prepareRequest(url) {
                method = httpMethod
                if (body != null) {
                    contentType(bodyType)
                    setBody(body)
                }
            }.execute { response ->
                onResponse()
                val channel = response.bodyAsChannel()
                readWhileProgressing(callTimeoutMs, maxBytes, response.contentLength()) { channel.readAvailable(it) }
                    .toExchange(response.status.value)
            }

    private fun <T> decodeResponse(
        response: PlatformExchange.Response,
        isReadOnly: Boolean,
        decode: (PlatformExchange.Response) -> T,
    ): TableResult<T> {
        if (response.httpStatus in STATUSES_WITHOUT_EFFECT) return TableResult.Unavailable("HTTP status ${response.httpStatus}")
        if (response.httpStatus !in SUCCESS_STATUSES && response.httpStatus != NOT_FOUND_STATUS) {
            return uncertainResult("HTTP status ${response.httpStatus}", isReadOnly)
        }
        return try {
            TableResult.Response(decode(response))
        } catch (failure: SerializationException) {
            uncertainResult("malformed response", isReadOnly)
        }
    }

    private fun uncertainResult(
        detail: String,
        isReadOnly: Boolean,
    ): TableResult<Nothing> = if (isReadOnly) TableResult.Unavailable(detail) else TableResult.Unknown(detail)

    private fun isConnectFailure(failure: Throwable): Boolean =
        generateSequence(failure) { it.cause }.take(MAX_CAUSE_DEPTH).any { it is ConnectException || it is UnresolvedAddressException }

    internal companion object {
        const val NOT_FOUND_STATUS = 404
        private const val MAX_CAUSE_DEPTH = 8
        private val SUCCESS_STATUSES = 200..299

        /** Statuses that the platform returns before it processes a request. */
        private val STATUSES_WITHOUT_EFFECT = setOf(400, 413, 429, 503)
    }
}

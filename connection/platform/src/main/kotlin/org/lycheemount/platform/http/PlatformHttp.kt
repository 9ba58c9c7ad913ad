package org.lycheemount.platform.http

import io.ktor.client.HttpClient
import io.ktor.client.engine.okhttp.OkHttp
import io.ktor.client.plugins.defaultRequest
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.contentLength
import io.ktor.http.contentType
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.Dispatcher
import okhttp3.Protocol
import org.lycheemount.common.ConnectFailedException
import org.lycheemount.platform.TableResult
import java.util.concurrent.TimeUnit
import javax.net.SocketFactory

/**
 * Sends requests to the platform without retries and distinguishes definite failures from unknown outcomes.
 *
 * @param callTimeoutMs timeout of a call that sets none, and of responses that make no progress.
 */
class PlatformHttp internal constructor(
    private val callTimeoutMs: Long,
    sockets: SocketFactory,
) : PlatformTransport,
    AutoCloseable {
    constructor(callTimeoutMs: Long) : this(callTimeoutMs, SocketFactory.getDefault())

    internal val json = Json { ignoreUnknownKeys = true }

    // Ktor's own client engine takes a response that is cut off for a complete one.
    private val client =
        HttpClient(OkHttp) {
            expectSuccess = false
            followRedirects = false
            // Each request uses its own connection. A keep-alive connection that the platform has closed in the meantime would turn a
            // definite failure into an unknown outcome.
            defaultRequest { headers.append(HttpHeaders.Connection, "close") }
            engine {
                config {
                    socketFactory(sockets)
                    retryOnConnectionFailure(false)
                    reportConnectFailures()
                    protocols(listOf(Protocol.HTTP_1_1))
                    connectTimeout(callTimeoutMs, TimeUnit.MILLISECONDS)
                    // Callers bound how long they wait.
                    readTimeout(0, TimeUnit.MILLISECONDS)
                    dispatcher(
                        Dispatcher().apply {
                            maxRequests = MAX_CONCURRENT_REQUESTS
                            maxRequestsPerHost = MAX_CONCURRENT_REQUESTS
                        },
                    )
                }
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
        } catch (failure: ConnectFailedException) {
            currentCoroutineContext().ensureActive()
            PlatformExchange.NotSent("cannot connect")
        } catch (failure: Exception) {
            currentCoroutineContext().ensureActive()
            PlatformExchange.Lost("connection broken")
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
                val httpStatus = response.status.value
                if (httpStatus !in FINAL_STATUSES) return@execute PlatformExchange.Lost("status $httpStatus is not valid")
                val channel = response.bodyAsChannel()
                val headers = response.headers.entries().flatMap { (name, values) -> values.map { name to it } }
                readWhileProgressing(callTimeoutMs, maxBytes, response.contentLength()) { readOrFail(channel, it) }
                    .toExchange(httpStatus, headers)
            }

    /** Reads from [channel]. If a failure has ended it early, throws that, as the channel itself may only report its end. */
    private suspend fun readOrFail(
        channel: ByteReadChannel,
        bytes: ByteArray,
    ): Int = channel.readAvailable(bytes).also { count -> if (count < 0) channel.closedCause?.let { throw it } }

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

    internal companion object {
        const val NOT_FOUND_STATUS = 404
        private const val MAX_CONCURRENT_REQUESTS = 1_024
        private val FINAL_STATUSES = 200..599
        private val SUCCESS_STATUSES = 200..299

        /** Statuses that the platform returns before it processes a request. */
        private val STATUSES_WITHOUT_EFFECT = setOf(400, 413, 429, 503)
    }
}

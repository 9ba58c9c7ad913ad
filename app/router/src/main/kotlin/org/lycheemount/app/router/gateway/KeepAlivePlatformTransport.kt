package org.lycheemount.app.router.gateway

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.Url
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import org.lycheemount.backend.AttemptFailure
import org.lycheemount.backend.PassThroughCall
import org.lycheemount.backend.PassThroughClient
import org.lycheemount.backend.PassThroughOutcome
import org.lycheemount.backend.PassThroughResponse
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.adapter.StoreClient
import org.lycheemount.platform.http.PlatformExchange
import org.lycheemount.platform.http.PlatformTransport
import org.lycheemount.platform.http.readWhileProgressing
import org.lycheemount.platform.http.toExchange
import org.lycheemount.platform.http.withTimeoutUntilStarted
import java.io.IOException

/**
 * Sends requests to the platform's store over keep-alive connections, with the HTTP client that also forwards callers' requests. A
 * starting router has fewer classes to load this way, and calls share connections.
 *
 * The store may close a keep-alive connection just as a request is sent. Such an exchange counts as lost. Callers of the store handle
 * this: they repeat reads and look up transactions by id.
 *
 * @param callTimeoutMs timeout of calls that do not specify one, and of responses that make no progress.
 */
internal class KeepAlivePlatformTransport(
    private val client: PassThroughClient,
    private val callTimeoutMs: Long,
    private val clock: Clock,
    private val eventLog: EventLog,
) : PlatformTransport {
    override suspend fun exchange(
        httpMethod: HttpMethod,
        url: String,
        body: ByteArray?,
        bodyType: ContentType,
        timeoutMs: Long?,
        maxBytes: Int,
        onResponse: () -> Unit,
    ): PlatformExchange {
        val target = Url(url)
        val call =
            PassThroughCall(
                method = httpMethod.value,
                target = target.encodedPathAndQuery,
                headers = if (body == null) emptyList() else listOf(HttpHeaders.ContentType to bodyType.toString()),
                body = body ?: ByteArray(0),
            )
        val effectiveTimeoutMs = timeoutMs ?: callTimeoutMs
        return try {
            withTimeoutUntilStarted(effectiveTimeoutMs) { onStarted ->
                send(storeServerAt(target), call, maxBytes) {
                    onStarted()
                    onResponse()
                }
            }
                ?: PlatformExchange.Lost("no response within $effectiveTimeoutMs ms")
        } catch (failure: IOException) {
            currentCoroutineContext().ensureActive()
            PlatformExchange.Lost("connection broken: ${failure.message}")
        }
    }

    private suspend fun send(
        server: BackendServer,
        call: PassThroughCall,
        maxBytes: Int,
        onResponse: () -> Unit,
    ): PlatformExchange {
        val startedAtMs = clock.monotonicMs()
        val outcome =
            client.exchange(server, call) { response ->
                onResponse()
                readBody(call, response, maxBytes, waitMs = clock.monotonicMs() - startedAtMs)
            }
        return when (outcome) {
            is PassThroughOutcome.Completed -> outcome.result
            is PassThroughOutcome.Failed -> toPlatformExchange(outcome)
        }
    }

    private suspend fun readBody(
        call: PassThroughCall,
        response: PassThroughResponse,
        maxBytes: Int,
        waitMs: Long,
    ): PlatformExchange {
        val startedAtMs = clock.monotonicMs()
        var receivedBytes = 0
        try {
            return readWhileProgressing(callTimeoutMs, maxBytes, response.body.lengthBytes) { bytes ->
                response.body.read(bytes).also { receivedBytes += maxOf(0, it) }
            }.toExchange(response.head.httpStatus, response.head.headers)
        } finally {
            logTransfer(call, receivedBytes, response.body.isComplete, waitMs, startedAtMs)
        }
    }

    /** Logs responses that are large or did not arrive in full: these take long on slow links. */
    private fun logTransfer(
        call: PassThroughCall,
        bytes: Int,
        isComplete: Boolean,
        waitMs: Long,
        startedAtMs: Long,
    ) {
        if (isComplete && bytes < MIN_LOGGED_BYTES) return
        eventLog.info(
            "store_response",
            "call" to call.target,
            "bytes" to bytes,
            "complete" to isComplete,
            "wait_ms" to waitMs,
            "transfer_ms" to clock.monotonicMs() - startedAtMs,
        )
    }

    private fun toPlatformExchange(outcome: PassThroughOutcome.Failed): PlatformExchange =
        if (outcome.failure == AttemptFailure.CONNECT_FAILED) {
            PlatformExchange.NotSent("cannot connect: ${outcome.detail}")
        } else {
            PlatformExchange.Lost("connection broken: ${outcome.detail}")
        }

    private fun storeServerAt(target: Url) =
        BackendServer(BackendServerId("store"), VmId("store"), ZoneId("store"), target.host, target.port, targets = emptySet())

    private companion object {
        private const val MIN_LOGGED_BYTES = 65_536
    }
}

/** Creates the client of the store at [address], `IP address:port`. */
internal fun createStoreClient(
    client: PassThroughClient,
    address: String,
    clock: Clock,
    eventLog: EventLog,
) = StoreClient(KeepAlivePlatformTransport(client, STORE_TIMEOUT_MS, clock, eventLog), address, eventLog)

// The store responds within 4 ms, or 60 times that when it is slow. A call that takes longer is better retried.
private const val STORE_TIMEOUT_MS = 1_000L

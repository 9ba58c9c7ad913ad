package org.lycheemount.backend

import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.lycheemount.common.BackendServer
import java.io.ByteArrayOutputStream
import java.io.IOException

/** Plain service client over HTTP. Sends the request id in the `x-request-id` header. */
class DefaultPlainServiceClient(
    private val http: BackendHttp,
) : PlainServiceClient {
    private val client = DefaultPassThroughClient(http)

    override suspend fun call(
        server: BackendServer,
        call: ServiceCall,
    ): ServiceCallOutcome =
        try {
            withTimeoutOrNull(call.timeoutMs) { exchange(server, call) } ?: ServiceCallOutcome.Failed(AttemptFailure.TIMED_OUT)
        } catch (failure: IOException) {
            currentCoroutineContext().ensureActive()
            ServiceCallOutcome.Failed(AttemptFailure.BROKEN_CONNECTION)
        }

    override suspend fun load(server: BackendServer): EngineLoad? {
        val text = http.sendControlRequest(server, HttpMethod.Get, "/__load") ?: return null
        return try {
            http.json.decodeFromString(EngineLoad.serializer(), text)
        } catch (failure: SerializationException) {
            null
        }
    }

    private suspend fun exchange(
        server: BackendServer,
        call: ServiceCall,
    ): ServiceCallOutcome =
        when (val outcome = client.exchange(server, toPassThroughCall(call)) { readResponse(it, call) }) {
            is PassThroughOutcome.Completed -> outcome.result
            is PassThroughOutcome.Failed -> ServiceCallOutcome.Failed(outcome.failure)
        }

    private fun toPassThroughCall(call: ServiceCall): PassThroughCall {
        val forwarded = call.headers.filterNot { it.first.lowercase() in CONNECTION_HEADERS }
        return PassThroughCall(
            method = call.method,
            target = call.pathAndQuery,
            headers = forwarded + (REQUEST_ID_HEADER to call.requestId.value),
            body = call.body,
            needsNewConnection = true,
        )
    }

    private suspend fun readResponse(
        response: PassThroughResponse,
        call: ServiceCall,
    ): ServiceCallOutcome {
        val head = response.head
        parseRefusal(head.header(REFUSED_HEADER))?.let { return ServiceCallOutcome.Failed(it) }
        val content = ByteArrayOutputStream()
        val bytes = ByteArray(READ_BYTES)
        while (true) {
            val count = response.body.read(bytes)
            if (count < 0) break
            val isPermitted = count <= call.maxResponseBytes - content.size() && call.reserveResponse(BUFFER_COPIES * count)
            if (!isPermitted) return ServiceCallOutcome.TooLarge(content.size() + count)
            content.write(bytes, 0, count)
        }
        return ServiceCallOutcome.Response(head.httpStatus, head.header(HttpHeaders.ContentType), content.toByteArray())
    }

    /** Header names. */
    companion object {
        /** Header with the request id. */
        const val REQUEST_ID_HEADER: String = "x-request-id"
        private const val READ_BYTES = 8_192

        // The buffer and its copy exist at the same time.
        private const val BUFFER_COPIES = 2L

        private val CONNECTION_HEADERS =
            setOf(
                "host",
                "connection",
                "keep-alive",
                "content-length",
                "transfer-encoding",
                "upgrade",
                "te",
                "trailer",
                REQUEST_ID_HEADER,
            )
    }
}

package org.lycheemount.backend

import io.ktor.client.request.headers
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsBytes
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.content.ByteArrayContent
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.lycheemount.common.BackendServer

/** Plain service client over HTTP. Sends the request id in the `x-request-id` header. */
class DefaultPlainServiceClient(
    private val http: BackendHttp,
) : PlainServiceClient {
    override suspend fun call(
        server: BackendServer,
        call: ServiceCall,
    ): ServiceCallOutcome =
        try {
            withTimeoutOrNull(call.timeoutMs) { exchange(server, call) } ?: ServiceCallOutcome.Failed(AttemptFailure.TIMED_OUT)
        } catch (failure: Exception) {
            currentCoroutineContext().ensureActive()
            ServiceCallOutcome.Failed(toAttemptFailure(failure))
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
    ): ServiceCallOutcome {
        val response =
            http.client.request(urlOf(server, call.pathAndQuery)) {
                method = HttpMethod(call.method)
                headers {
                    call.headers.filterNot { it.first.lowercase() in CONNECTION_HEADERS }.forEach { append(it.first, it.second) }
                    append(REQUEST_ID_HEADER, call.requestId.value)
                }
                if (call.body.isNotEmpty()) setBody(ByteArrayContent(call.body, contentTypeOf(call)))
            }
        parseRefusal(response.headers[REFUSED_HEADER])?.let { return ServiceCallOutcome.Failed(it) }
        return ServiceCallOutcome.Response(response.status.value, response.headers[HttpHeaders.ContentType], response.bodyAsBytes())
    }

    private fun contentTypeOf(call: ServiceCall): ContentType? =
        call.headers.firstOrNull { it.first.equals(HttpHeaders.ContentType, ignoreCase = true) }?.let { ContentType.parse(it.second) }

    /** Header names. */
    companion object {
        /** Header with the request id. */
        const val REQUEST_ID_HEADER: String = "x-request-id"

        private val CONNECTION_HEADERS =
            setOf(
                "host",
                "connection",
                "keep-alive",
                "content-length",
                "content-type",
                "transfer-encoding",
                "upgrade",
                "te",
                "trailer",
                REQUEST_ID_HEADER,
            )
    }
}

package org.lycheemount.backend

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.common.BackendServer

/** Pass-through client over keep-alive connections. */
class DefaultPassThroughClient(
    http: BackendHttp,
) : PassThroughClient {
    private val connections = http.connections

    override suspend fun <T> exchange(
        server: BackendServer,
        call: PassThroughCall,
        handle: suspend (PassThroughResponse) -> T,
    ): PassThroughOutcome<T> {
        val connection =
            acquireIdle(server, call) ?: try {
                connections.open(server)
            } catch (failure: Exception) {
                currentCoroutineContext().ensureActive()
                return PassThroughOutcome.Failed(AttemptFailure.CONNECT_FAILED, failure.message.orEmpty())
            }
        var keepAliveMs: Long? = null
        try {
            val head =
                when (val sent = sendAndReadHead(connection, server, call)) {
                    is HeadOutcome.Failed -> return PassThroughOutcome.Failed(AttemptFailure.BROKEN_CONNECTION, sent.detail)
                    is HeadOutcome.Received -> sent
                }
            val body = bodyOf(connection, head, call)
            val result = handle(PassThroughResponse(head.response, body, connection::close))
            val isReusable = body.isComplete && head.isKeepAlive && !connection.hasUnexpectedBytes && !call.needsNewConnection
            if (isReusable) keepAliveMs = head.keepAliveMs
            return PassThroughOutcome.Completed(result)
        } finally {
            keepAliveMs?.let { connections.releaseIdle(server, connection, it) } ?: connection.close()
        }
    }

    private fun acquireIdle(
        server: BackendServer,
        call: PassThroughCall,
    ): BackendConnection? = if (call.needsNewConnection) null else connections.acquireIdle(server, call.requestId)

    private suspend fun sendAndReadHead(
        connection: BackendConnection,
        server: BackendServer,
        call: PassThroughCall,
    ): HeadOutcome =
        try {
            connection.onRequest(call.requestId)
            connection.send(encodeHead(server, call), call.body)
            readOwnResponseHead(connection, call)
        } catch (failure: Exception) {
            currentCoroutineContext().ensureActive()
            HeadOutcome.Failed(failure.message ?: failure.javaClass.simpleName)
        }

    /** Skips responses to earlier requests, which a faulty server may send late on the same connection. */
    private suspend fun readOwnResponseHead(
        connection: BackendConnection,
        call: PassThroughCall,
    ): HeadOutcome {
        repeat(MAX_UNRELATED_RESPONSES) {
            val response = connection.readHead() ?: return HeadOutcome.Failed("the server closed the connection")
            val received = toReceivedHead(response)
            // A body of unknown length would end with the connection, wherever that breaks.
            if (!received.hasValidLength) return HeadOutcome.Failed("the content length is not valid")
            when (call.ownerOf(received.response)) {
                ResponseOwner.THIS_REQUEST -> return received
                ResponseOwner.UNIDENTIFIED ->
                    return if (connection.requestCount == 1) received else HeadOutcome.Failed("received a response that may not be its own")
                ResponseOwner.OTHER_REQUEST -> Unit
            }
            val skipped = withTimeoutOrNull(SKIP_TIMEOUT_MS) { skipBody(connection, received, call) }
            if (skipped != true) return HeadOutcome.Failed("received an incomplete response to another request")
        }
        return HeadOutcome.Failed("received only responses to other requests")
    }

    private suspend fun skipBody(
        connection: BackendConnection,
        head: HeadOutcome.Received,
        call: PassThroughCall,
    ): Boolean {
        if (!head.isKeepAlive) return false
        val body = bodyOf(connection, head, call)
        body.readUpTo(MAX_SKIPPED_BYTES)
        return body.isComplete
    }

    private fun toReceivedHead(whole: ResponseHead): HeadOutcome.Received {
        val response = ResponseHead(whole.httpStatus, whole.headers.filterNot { it.first.lowercase() in HOP_BY_HOP_HEADERS })
        return HeadOutcome.Received(response, whole)
    }

    private fun bodyOf(
        connection: BackendConnection,
        head: HeadOutcome.Received,
        call: PassThroughCall,
    ): ResponseBody {
        if (call.method == "HEAD" || head.response.httpStatus in STATUSES_WITHOUT_BODY) return EmptyBody()
        return connection.responseBody(head.lengthBytes, head.isChunked)
    }

    private fun encodeHead(
        server: BackendServer,
        call: PassThroughCall,
    ): ByteArray =
        buildString {
            append(call.method).append(' ').append(call.target).append(" HTTP/1.1\r\n")
            if (call.headers.none { it.first.equals("host", ignoreCase = true) }) append("Host: ${server.host}:${server.port}\r\n")
            for ((name, value) in call.headers) append(name).append(": ").append(value).append("\r\n")
            if (call.needsNewConnection) append("Connection: close\r\n")
            if (call.body.isNotEmpty() || call.method in METHODS_WITH_BODY) append("Content-Length: ${call.body.size}\r\n")
            append("\r\n")
        }.encodeToByteArray()

    private sealed interface HeadOutcome {
        class Received(
            val response: ResponseHead,
            private val allHeaders: ResponseHead,
        ) : HeadOutcome {
            private val lengths: Set<String> =
                allHeaders.headers
                    .filter { it.first.equals("content-length", ignoreCase = true) }
                    .flatMap { it.second.split(',') }
                    .mapTo(HashSet()) { it.trim() }
            val lengthBytes: Long? = lengths.singleOrNull()?.takeIf(CONTENT_LENGTH::matches)?.toLong()

            /** Whether the head states one length, or none. */
            val hasValidLength: Boolean get() = lengths.isEmpty() || lengthBytes != null
            val isChunked: Boolean = allHeaders.header("transfer-encoding")?.contains("chunked", ignoreCase = true) == true
            private val isFramed get() = isChunked || lengthBytes != null
            val isKeepAlive: Boolean =
                (isFramed || response.httpStatus in STATUSES_WITHOUT_BODY) &&
                    allHeaders.header("connection")?.contains("close", ignoreCase = true) != true

            /** Half of the server's keep-alive timeout, so that the next request arrives before the server closes the connection. */
            val keepAliveMs: Long
                get() {
                    val timeoutS =
                        allHeaders
                            .header("keep-alive")
                            ?.let { KEEP_ALIVE_TIMEOUT.find(it) }
                            ?.groupValues
                            ?.get(1)
                            ?.toLongOrNull()
                    return timeoutS?.let { it * MS_PER_SECOND / 2 } ?: KEEP_ALIVE_WITHOUT_TIMEOUT_MS
                }
        }

        class Failed(
            val detail: String,
        ) : HeadOutcome
    }

    private companion object {
        private const val MAX_UNRELATED_RESPONSES = 3
        private const val MAX_SKIPPED_BYTES = 262_144

        // A response to an earlier request is already complete; waiting longer would only delay the response to this request.
        private const val SKIP_TIMEOUT_MS = 100L

        // A server that states no keep-alive timeout may close an idle connection soon.
        private const val KEEP_ALIVE_WITHOUT_TIMEOUT_MS = 1_000L
        private const val MS_PER_SECOND = 1_000L
        private val CONTENT_LENGTH = Regex("[0-9]{1,18}")
        private val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d+)")
        private val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")
        private val STATUSES_WITHOUT_BODY = setOf(204, 304)
        private val HOP_BY_HOP_HEADERS =
            setOf(
                "connection",
                "content-length",
                "keep-alive",
                "proxy-authenticate",
                "proxy-authorization",
                "te",
                "trailer",
                "transfer-encoding",
                "upgrade",
            )
    }
}

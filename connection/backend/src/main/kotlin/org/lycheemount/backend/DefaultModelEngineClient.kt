package org.lycheemount.backend

import io.ktor.http.HttpMethod
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.discard
import io.ktor.utils.io.readUTF8Line
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.lycheemount.common.BackendServer
import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId
import java.io.IOException

/**
 * Model engine client over HTTP.
 *
 * @param idleTimeoutMs time without any line after which an attempt fails. A live engine writes a line without tokens
 *   at least once per second while a request waits.
 */
class DefaultModelEngineClient(
    private val http: BackendHttp,
    private val idleTimeoutMs: Long = DEFAULT_IDLE_TIMEOUT_MS,
) : ModelEngineClient {
    override fun generate(
        server: BackendServer,
        request: GenerateRequest,
    ): Flow<GenerateEvent> =
        flow {
            var ended = false
            val collector =
                FlowCollector<GenerateEvent> { event ->
                    if (event !is GenerateEvent.Tokens) ended = true
                    emit(event)
                }
            try {
                collector.attempt(server, request)
            } catch (failure: DownstreamException) {
                throw failure.original
            } catch (failure: Exception) {
                currentCoroutineContext().ensureActive()
                if (!ended) emit(GenerateEvent.Failed(toAttemptFailure(failure)))
            }
        }

    override suspend fun cancel(
        server: BackendServer,
        requestId: RequestId,
    ): CancelResponse? {
        val body = http.json.encodeToString(CancelRequest.serializer(), CancelRequest(requestId))
        return http.sendControlRequest(server, HttpMethod.Post, "/v1/cancel", body)?.let { decode(CancelResponse.serializer(), it) }
    }

    override suspend fun load(server: BackendServer): EngineLoad? =
        http.sendControlRequest(server, HttpMethod.Get, "/v1/load")?.let { decode(EngineLoad.serializer(), it) }

    override suspend fun cacheEvents(
        server: BackendServer,
        afterSequence: Long,
    ): CacheEventPage? =
        http
            .sendControlRequest(
                server,
                HttpMethod.Get,
                "/v1/cache-events?after=$afterSequence",
            )?.let { decode(CacheEventPage.serializer(), it) }

    override suspend fun command(
        server: BackendServer,
        command: EngineCommand,
    ): CommandResponse? {
        val body = http.json.encodeToString(EngineCommand.serializer(), command)
        return http.sendControlRequest(server, HttpMethod.Post, "/v1/commands", body)?.let { decode(CommandResponse.serializer(), it) }
    }

    override suspend fun moveCache(
        from: BackendServer,
        to: BackendServer,
        modelId: ModelId,
        prefixHashes: List<Long>,
    ): Int? {
        val body = MoveCacheRequest(from.host, from.port, modelId, prefixHashes)
        val text = http.json.encodeToString(MoveCacheRequest.serializer(), body)
        val response = http.sendControlRequest(to, HttpMethod.Post, "/v1/import-cache", text, MOVE_CACHE_TIMEOUT_MS)
        return response?.let { decode(MoveCacheResponse.serializer(), it) }?.movedBlocks
    }

    private suspend fun FlowCollector<GenerateEvent>.attempt(
        server: BackendServer,
        request: GenerateRequest,
    ) {
        val body = http.json.encodeToString(GenerateRequest.serializer(), request).encodeToByteArray()
        val idleConnection = http.connections.acquireIdle(server)
        if (idleConnection != null && exchange(server, idleConnection, request.requestId, body, isReused = true)) return
        // If an idle connection ends without a response, the engine has probably closed it. A new connection gives a definite result.
        if (!exchange(server, http.connections.open(server), request.requestId, body, isReused = false)) {
            emit(GenerateEvent.Failed(AttemptFailure.BROKEN_CONNECTION))
        }
    }

    /** Runs one generation on [connection]; returns false if the engine closed it before any response. */
    private suspend fun FlowCollector<GenerateEvent>.exchange(
        server: BackendServer,
        connection: BackendConnection,
        requestId: RequestId,
        body: ByteArray,
        isReused: Boolean,
    ): Boolean {
        var isComplete = false
        try {
            val head = withTimeoutOrNull(idleTimeoutMs) { OptionalHead(sendAndReadHead(connection, server, body)) }
            if (head == null) {
                emit(GenerateEvent.Failed(AttemptFailure.TIMED_OUT))
                return true
            }
            val response = head.response ?: return false
            val failure = failureOf(response, requestId, isReused)
            if (failure != null) {
                emit(failure)
                return true
            }
            coroutineScope {
                val channel = connection.body(this, response)
                val last = readLines(channel)
                emitDownstream(last)
                isComplete = last is GenerateEvent.Finished && withTimeoutOrNull(BODY_END_TIMEOUT_MS) { channel.discard() == 0L } == true
                // The decoder of an incomplete response would otherwise wait forever.
                coroutineContext.cancelChildren()
            }
            return true
        } finally {
            if (isComplete) http.connections.releaseIdle(server, connection) else connection.close()
        }
    }

    private suspend fun sendAndReadHead(
        connection: BackendConnection,
        server: BackendServer,
        body: ByteArray,
    ): ResponseHead? =
        try {
            connection.post(server, "/v1/generate", body)
        } catch (failure: IOException) {
            currentCoroutineContext().ensureActive()
            null
        }

    private fun failureOf(
        response: ResponseHead,
        requestId: RequestId,
        isReused: Boolean,
    ): GenerateEvent? {
        val refusal = parseRefusal(response.header(REFUSED_HEADER))
        if (refusal != null) {
            val respondedId = response.header(DefaultPlainServiceClient.REQUEST_ID_HEADER)
            // On a reused connection, a refusal without this request's id may be a late copy of an earlier one.
            val isOwn = respondedId == requestId.value || (respondedId == null && !isReused)
            return GenerateEvent.Failed(if (isOwn) refusal else AttemptFailure.BROKEN_CONNECTION)
        }
        return if (response.httpStatus == OK_STATUS) null else GenerateEvent.Failed(AttemptFailure.SERVER_ERROR)
    }

    private suspend fun FlowCollector<GenerateEvent>.readLines(channel: ByteReadChannel): GenerateEvent {
        while (true) {
            val line = withTimeoutOrNull(idleTimeoutMs) { OptionalLine(channel.readUTF8Line(MAX_LINE_CHARS)) }
            if (line == null) return GenerateEvent.Failed(AttemptFailure.TIMED_OUT)
            val text = line.text ?: return GenerateEvent.Failed(AttemptFailure.BROKEN_CONNECTION)
            val chunk = decode(EngineChunk.serializer(), text) ?: return GenerateEvent.Failed(AttemptFailure.SERVER_ERROR)
            chunk.finishReason?.let { return finished(chunk, it) }
            if (chunk.tokens.isNotEmpty()) emitDownstream(GenerateEvent.Tokens(chunk.requestId, chunk.sequence, chunk.tokens))
        }
    }

    private fun finished(
        chunk: EngineChunk,
        reason: String,
    ) = GenerateEvent.Finished(chunk.requestId, reason, chunk.sequence, chunk.cachedPromptTokens)

    /** Emits [event] and wraps exceptions of the collector, which are not failures of the attempt. */
    private suspend fun FlowCollector<GenerateEvent>.emitDownstream(event: GenerateEvent) =
        try {
            emit(event)
        } catch (failure: Throwable) {
            throw DownstreamException(failure)
        }

    private fun <T> decode(
        serializer: kotlinx.serialization.DeserializationStrategy<T>,
        text: String,
    ): T? =
        try {
            http.json.decodeFromString(serializer, text)
        } catch (failure: SerializationException) {
            null
        }

    private class OptionalHead(
        val response: ResponseHead?,
    )

    private class OptionalLine(
        val text: String?,
    )

    private class DownstreamException(
        val original: Throwable,
    ) : RuntimeException(original)

    private companion object {
        private const val DEFAULT_IDLE_TIMEOUT_MS = 5_000L
        private const val MOVE_CACHE_TIMEOUT_MS = 10_000L
        private const val MAX_LINE_CHARS = 65_536
        private const val OK_STATUS = 200

        // The end of the body follows the last line immediately.
        private const val BODY_END_TIMEOUT_MS = 200L
    }
}

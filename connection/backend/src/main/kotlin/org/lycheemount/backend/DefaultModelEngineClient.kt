package org.lycheemount.backend

import io.ktor.client.request.preparePost
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpMethod
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readUTF8Line
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.cancel
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

/**
 * Model engine client over HTTP.
 *
 * @param silenceTimeoutMs time without any line after which an attempt fails; a live engine writes a line without
 *   tokens at least once a second while a request waits.
 */
class DefaultModelEngineClient(
    private val http: BackendHttp,
    private val silenceTimeoutMs: Long = DEFAULT_SILENCE_TIMEOUT_MS,
) : ModelEngineClient {
    override fun generate(
        server: BackendServer,
        request: GenerateRequest,
    ): Flow<GenerateEvent> =
        flow {
            val outcome =
                try {
                    attempt(server, request)
                } catch (failure: DownstreamException) {
                    throw failure.original
                } catch (failure: Exception) {
                    currentCoroutineContext().ensureActive()
                    GenerateEvent.Failed(toAttemptFailure(failure))
                }
            emit(outcome)
        }

    override suspend fun cancel(
        server: BackendServer,
        requestId: RequestId,
    ): CancelAnswer? {
        val body = http.json.encodeToString(CancelBody.serializer(), CancelBody(requestId))
        return http.control(server, HttpMethod.Post, "/v1/cancel", body)?.let { decode(CancelAnswer.serializer(), it) }
    }

    override suspend fun load(server: BackendServer): EngineLoad? =
        http.control(server, HttpMethod.Get, "/v1/load")?.let { decode(EngineLoad.serializer(), it) }

    override suspend fun cacheEvents(
        server: BackendServer,
        afterSequence: Long,
    ): CacheEventPage? =
        http.control(server, HttpMethod.Get, "/v1/cache-events?after=$afterSequence")?.let { decode(CacheEventPage.serializer(), it) }

    override suspend fun command(
        server: BackendServer,
        command: EngineCommand,
    ): CommandAnswer? {
        val body = http.json.encodeToString(EngineCommand.serializer(), command)
        return http.control(server, HttpMethod.Post, "/v1/commands", body)?.let { decode(CommandAnswer.serializer(), it) }
    }

    override suspend fun moveCache(
        from: BackendServer,
        to: BackendServer,
        modelId: ModelId,
        prefixHashes: List<Long>,
    ): Int? {
        val body = MoveCacheBody(from.host, from.port, modelId, prefixHashes)
        val text = http.json.encodeToString(MoveCacheBody.serializer(), body)
        val answer = http.control(to, HttpMethod.Post, "/v1/import-cache", text, MOVE_TIMEOUT_MS)
        return answer?.let { decode(MoveCacheAnswer.serializer(), it) }?.movedBlocks
    }

    private suspend fun FlowCollector<GenerateEvent>.attempt(
        server: BackendServer,
        request: GenerateRequest,
    ): GenerateEvent {
        val statement =
            http.client.preparePost(urlOf(server, "/v1/generate")) {
                setJson(http.json.encodeToString(GenerateRequest.serializer(), request))
            }
        var silent = false
        return try {
            coroutineScope {
                val headTimer =
                    launch {
                        delay(silenceTimeoutMs)
                        silent = true
                        this@coroutineScope.cancel()
                    }
                statement.execute { response ->
                    headTimer.cancel()
                    refusedBy(response) ?: readLines(response.bodyAsChannel())
                }
            }
        } catch (failure: CancellationException) {
            currentCoroutineContext().ensureActive()
            if (silent) GenerateEvent.Failed(AttemptFailure.TIMED_OUT) else throw failure
        }
    }

    private fun refusedBy(response: HttpResponse): GenerateEvent? {
        refusalOf(response.headers[REFUSED_HEADER])?.let { return GenerateEvent.Failed(it) }
        return if (response.status.value == OK_STATUS) null else GenerateEvent.Failed(AttemptFailure.SERVER_ERROR)
    }

    private suspend fun FlowCollector<GenerateEvent>.readLines(channel: ByteReadChannel): GenerateEvent {
        while (true) {
            val line = withTimeoutOrNull(silenceTimeoutMs) { ReadLine(channel.readUTF8Line(MAX_LINE_CHARS)) }
            if (line == null) return GenerateEvent.Failed(AttemptFailure.TIMED_OUT)
            val text = line.text ?: return GenerateEvent.Failed(AttemptFailure.BROKEN_CONNECTION)
            val chunk = decode(EngineChunk.serializer(), text) ?: return GenerateEvent.Failed(AttemptFailure.SERVER_ERROR)
            chunk.finishReason?.let { return finished(chunk, it) }
            if (chunk.tokens.isNotEmpty()) pass(GenerateEvent.Tokens(chunk.requestId, chunk.sequence, chunk.tokens))
        }
    }

    private fun finished(
        chunk: EngineChunk,
        reason: String,
    ) = GenerateEvent.Finished(chunk.requestId, reason, chunk.sequence, chunk.cachedPromptTokens)

    /** Marks an exception of the collector, which is not a failure of the attempt. */
    private suspend fun FlowCollector<GenerateEvent>.pass(event: GenerateEvent) =
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

    private class ReadLine(
        val text: String?,
    )

    private class DownstreamException(
        val original: Throwable,
    ) : RuntimeException(original)

    private companion object {
        private const val DEFAULT_SILENCE_TIMEOUT_MS = 5_000L
        private const val MOVE_TIMEOUT_MS = 10_000L
        private const val MAX_LINE_CHARS = 65_536
        private const val OK_STATUS = 200
    }
}

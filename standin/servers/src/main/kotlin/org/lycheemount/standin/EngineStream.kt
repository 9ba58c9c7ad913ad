package org.lycheemount.standin

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ChannelResult
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.backend.EngineChunk
import org.lycheemount.backend.GenerateRequest
import org.lycheemount.standin.enginemodel.EngineEvent
import org.lycheemount.standin.enginemodel.OutputTokens
import kotlin.random.Random

/** Writes the chunks of one completion as JSON lines and injects the engine's faults. */
internal class EngineStream(
    private val engine: EngineStandIn,
    private val request: GenerateRequest,
    private val events: Channel<EngineEvent>,
    private val output: ByteWriteChannel,
) {
    private val seed = OutputTokens.seedOf(request.prompt)
    private val random = Random(request.requestId.hashCode())
    private var delayedChunk: EngineChunk? = null
    private var sentTokens = 0

    suspend fun write() {
        while (true) {
            val result = withTimeoutOrNull(KEEP_ALIVE_MS) { events.receiveCatching() }
            engine.awaitHangEnd()
            if (result == null) {
                send(EngineChunk(request.requestId, request.startAtToken + sentTokens))
            } else if (!writeEvent(result)) {
                return
            }
        }
    }

    private suspend fun writeEvent(result: ChannelResult<EngineEvent>): Boolean {
        when (val event = result.getOrNull() ?: return false) {
            is EngineEvent.Token -> sendToken(event)
            is EngineEvent.Finished -> sendFinished(event)
        }
        return true
    }

    private suspend fun sendToken(event: EngineEvent.Token) {
        applyStreamFaults()
        val faults = engine.faults
        val chunk = EngineChunk(request.requestId, event.index, listOf(OutputTokens.token(seed, event.index)))
        if (delayedChunk == null && random.nextDouble() < faults.swappedChunkShare) {
            delayedChunk = chunk
            return
        }
        if (random.nextDouble() < faults.lateChunkShare) delay(faults.lateChunkMs)
        send(chunk)
        if (random.nextDouble() < faults.duplicateChunkShare) send(chunk)
        sendDelayedChunk()
        sentTokens++
    }

    private suspend fun sendFinished(event: EngineEvent.Finished) {
        sendDelayedChunk()
        send(EngineChunk(request.requestId, event.totalTokens, emptyList(), event.reason, event.cachedPromptTokens))
    }

    private suspend fun sendDelayedChunk() {
        delayedChunk?.let { send(it) }
        delayedChunk = null
    }

    private suspend fun send(chunk: EngineChunk) {
        output.writeStringUtf8(standInJson.encodeToString(EngineChunk.serializer(), chunk) + "\n")
        output.flush()
    }

    private fun applyStreamFaults() {
        val faults = engine.faults
        if (faults.dieAfterTokens != null && sentTokens >= faults.dieAfterTokens) {
            engine.crashAsync()
            throw DroppedResponseException()
        }
        if (faults.breakStreamsAfterTokens != null && sentTokens >= faults.breakStreamsAfterTokens) throw DroppedResponseException()
    }

    private companion object {
        /** Interval between empty chunks. Clients treat a longer silence as a hung engine. */
        private const val KEEP_ALIVE_MS = 1_000L
    }
}

package org.lycheemount.stream

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.withTimeoutOrNull
import org.lycheemount.backend.AttemptFailure
import org.lycheemount.backend.GenerateEvent
import org.lycheemount.backend.GenerateRequest
import org.lycheemount.backend.ModelEngineClient
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason

/**
 * Streams one chat completion across all of its attempts.
 *
 * Tokens are delivered in order. When an engine fails, the next attempt resumes at the token offset reached so far. The output
 * reservation grows in steps.
 *
 * Confined to one coroutine: call [next] until it returns a [CompletionStep.End]. Properties may be read from any thread.
 *
 * @param scope runs the connection to the engine; cancelling it closes the connection but does not cancel the generation.
 */
class CompletionStream(
    private val request: CompletionRequest,
    private val engine: ModelEngineClient,
    private val attempts: AttemptController,
    private val reservation: OutputReservation,
    private val canceller: EngineCanceller,
    private val timeouts: StreamTimeouts,
    private val scope: CoroutineScope,
) {
    private val assembler = TokenAssembler(request.requestId)
    private val excluded = mutableSetOf<BackendServerId>()
    private var events: ReceiveChannel<GenerateEvent>? = null
    private var cachedPromptTokens = 0
    private var lastFailure: AttemptFailure? = null

    /** Whether the request may have run in an attempt that failed. */
    @Volatile
    var mayHaveRun: Boolean = false
        private set

    /** Server of the current attempt, or null between attempts. */
    @Volatile
    var server: BackendServer? = null
        private set

    /** Whether the current attempt has delivered its first chunk. */
    @Volatile
    var hasAttemptStarted: Boolean = false
        private set

    /** Output tokens returned by [next] so far. */
    val deliveredTokens: Int get() = assembler.deliveredTokens

    /** Whether an engine event is buffered, so that [next] need not wait for the network. */
    @OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
    val hasBufferedEvent: Boolean get() = events?.isEmpty == false

    /** Waits for the next tokens or the end of the completion. */
    suspend fun next(): CompletionStep {
        while (true) {
            val channel = events
            val step = if (channel == null) startAttempt() else receiveStep(channel)
            if (step != null) return step
        }
    }

    private suspend fun startAttempt(): CompletionStep.End? =
        when (val permit = attempts.acquire(excluded)) {
            is AttemptPermit.Refused -> {
                endWith(if (mayHaveRun) refusalFor(checkNotNull(lastFailure)) else permit.refusal)
            }

            is AttemptPermit.Granted -> {
                assembler.beginAttempt()
                hasAttemptStarted = false
                server = permit.server
                events = engine.generate(permit.server, generateRequest(permit.priority)).buffer(MAX_BUFFERED_EVENTS).produceIn(scope)
                null
            }
        }

    private fun generateRequest(priority: Int) =
        GenerateRequest(
            requestId = request.requestId,
            modelId = request.modelId,
            prompt = request.prompt,
            promptTokens = request.promptTokens,
            prefixHashes = request.prefixHashes,
            maxOutputTokens = reservation.reservedOutputTokens,
            priority = priority,
            startAtToken = assembler.deliveredTokens,
        )

    private suspend fun receiveStep(channel: ReceiveChannel<GenerateEvent>): CompletionStep? {
        val buffered = channel.tryReceive().getOrNull()
        return when (val event = buffered ?: receive(channel)) {
            null -> failAttempt(AttemptFailure.TIMED_OUT)
            is GenerateEvent.Tokens -> onChunk(event)
            is GenerateEvent.Finished -> onEngineFinished(event)
            is GenerateEvent.Failed -> failAttempt(event.failure)
        }
    }

    private suspend fun receive(channel: ReceiveChannel<GenerateEvent>): GenerateEvent? {
        val timeoutMs = if (hasAttemptStarted) timeouts.nextChunkMs else timeouts.firstChunkMs
        return withTimeoutOrNull(timeoutMs) {
            channel.receiveCatching().getOrNull() ?: GenerateEvent.Failed(AttemptFailure.BROKEN_CONNECTION)
        }
    }

    private fun onChunk(chunk: GenerateEvent.Tokens): CompletionStep? {
        if (!hasAttemptStarted) {
            hasAttemptStarted = true
            attempts.onFirstToken()
        }
        return when (val outcome = assembler.offer(chunk)) {
            is ChunkOutcome.Deliver -> CompletionStep.Tokens(outcome.tokens)
            ChunkOutcome.NoNewTokens -> null
            ChunkOutcome.Malformed -> failAttempt(AttemptFailure.SERVER_ERROR)
        }
    }

    private fun onEngineFinished(event: GenerateEvent.Finished): CompletionStep? {
        if (event.requestId != request.requestId || event.totalTokens != assembler.deliveredTokens) {
            return failAttempt(AttemptFailure.BROKEN_CONNECTION)
        }
        if (cachedPromptTokens == 0) cachedPromptTokens = event.cachedPromptTokens
        attempts.onCompleted(assembler.deliveredTokens, event.cachedPromptTokens)
        // The flow completes by itself here; cancelling it would keep the client from reusing the connection.
        clearAttempt()
        val isReservationUsedUp = event.reason == FINISH_REASON_LENGTH && assembler.deliveredTokens >= reservation.reservedOutputTokens
        if (isReservationUsedUp && reservation.extend()) return null
        return CompletionStep.Finished(event.reason, assembler.deliveredTokens, cachedPromptTokens)
    }

    private fun failAttempt(failure: AttemptFailure): CompletionStep? {
        val failedServer = checkNotNull(server) { "no attempt is in progress" }
        attempts.onFailed(failure)
        cancelAttempt()
        excluded += failedServer.backendServerId
        if (!failure.hadNoEffect) {
            mayHaveRun = true
            canceller.cancelInBackground(failedServer, request.requestId)
        }
        lastFailure = failure
        return if (attempts.tryRetry()) null else endWith(refusalFor(failure))
    }

    private fun refusalFor(failure: AttemptFailure) =
        Refusal(RefusalReason.BACKEND_FAILED, "attempt failed: ${failure.name.lowercase()}", RETRY_AFTER_MS)

    private fun endWith(refusal: Refusal): CompletionStep.End =
        if (mayHaveRun || assembler.deliveredTokens > 0) {
            CompletionStep.Broken(refusal, assembler.deliveredTokens)
        } else {
            CompletionStep.NotRun(refusal)
        }

    private fun cancelAttempt() {
        events?.cancel()
        clearAttempt()
    }

    private fun clearAttempt() {
        events = null
        server = null
    }

    private companion object {
        private const val FINISH_REASON_LENGTH = "length"
        private const val RETRY_AFTER_MS = 1_000L

        // An engine that sends faster than a caller reads has to wait.
        private const val MAX_BUFFERED_EVENTS = 64
    }
}

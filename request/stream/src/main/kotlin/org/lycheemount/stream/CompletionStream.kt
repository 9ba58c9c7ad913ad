package org.lycheemount.stream

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
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
 * One answer over all of its attempts: ordered, resumed at the offset when an engine fails, extended in steps.
 *
 * Used from one coroutine: call [next] until it returns an [CompletionStep.End]. Fields may be read from any thread.
 *
 * @param scope carries the connection to the engine; cancelling it closes the connection only.
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

    /** Whether an attempt failed in a way that leaves open whether it ran. */
    @Volatile
    var mayHaveRun: Boolean = false
        private set

    /** Server of the running attempt, or null between attempts. */
    @Volatile
    var server: BackendServer? = null
        private set

    /** Whether the running attempt has delivered anything. */
    @Volatile
    var hasAttemptStarted: Boolean = false
        private set

    /** Output tokens returned by [next] so far. */
    val deliveredTokens: Int get() = assembler.deliveredTokens

    /** Whether [next] has an event to work on without waiting. */
    @OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
    val hasBufferedEvent: Boolean get() = events?.isEmpty == false

    /** Waits for the next tokens or the end of the answer. */
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
                events = engine.generate(permit.server, generateRequest(permit.priority)).buffer(Channel.UNLIMITED).produceIn(scope)
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
        if (event.requestId != request.requestId || event.totalTokens > assembler.deliveredTokens) {
            return failAttempt(AttemptFailure.BROKEN_CONNECTION)
        }
        if (cachedPromptTokens == 0) cachedPromptTokens = event.cachedPromptTokens
        attempts.onCompleted(assembler.deliveredTokens, event.cachedPromptTokens)
        // A flow that has finished ends by itself, which lets the client keep its connection.
        clearAttempt()
        val isReservationUsedUp = event.reason == FINISH_REASON_LENGTH && assembler.deliveredTokens >= reservation.reservedOutputTokens
        if (isReservationUsedUp && reservation.extend()) return null
        return CompletionStep.Finished(event.reason, assembler.deliveredTokens, cachedPromptTokens)
    }

    private fun failAttempt(failure: AttemptFailure): CompletionStep? {
        val failedServer = checkNotNull(server) { "a failure without an attempt" }
        attempts.onFailed(failure)
        cancelAttempt()
        excluded += failedServer.backendServerId
        if (!failure.certainlyNotRun) {
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
    }
}

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
 * Used from one coroutine: call [next] until it returns an [AnswerStep.End]. Fields may be read from any thread.
 *
 * @param scope carries the connection to the engine; cancelling it closes the connection only.
 */
class AnswerStream(
    private val terms: AnswerTerms,
    private val engine: ModelEngineClient,
    private val attempts: AttemptSource,
    private val allowance: OutputAllowance,
    private val canceller: EngineCanceller,
    private val timeouts: StreamTimeouts,
    private val scope: CoroutineScope,
) {
    private val assembler = AnswerAssembler(terms.requestId)
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
    var attemptStarted: Boolean = false
        private set

    /** Output tokens returned by [next] so far. */
    val deliveredTokens: Int get() = assembler.deliveredTokens

    /** Whether [next] has an event to work on without waiting. */
    @OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
    val hasBufferedEvent: Boolean get() = events?.isEmpty == false

    /** Waits for the next tokens or the end of the answer. */
    suspend fun next(): AnswerStep {
        while (true) {
            val open = events
            val step = if (open == null) openAttempt() else takeEvent(open)
            if (step != null) return step
        }
    }

    private suspend fun openAttempt(): AnswerStep.End? =
        when (val permit = attempts.acquire(excluded)) {
            is AttemptPermit.Refused -> {
                end(if (mayHaveRun) failed(checkNotNull(lastFailure)) else permit.refusal)
            }

            is AttemptPermit.Granted -> {
                assembler.beginAttempt()
                attemptStarted = false
                server = permit.server
                events = engine.generate(permit.server, generateRequest(permit.priority)).buffer(Channel.UNLIMITED).produceIn(scope)
                null
            }
        }

    private fun generateRequest(priority: Int) =
        GenerateRequest(
            requestId = terms.requestId,
            modelId = terms.modelId,
            prompt = terms.prompt,
            promptTokens = terms.promptTokens,
            prefixHashes = terms.prefixHashes,
            maxOutputTokens = allowance.reservedOutputTokens,
            priority = priority,
            startAtToken = assembler.deliveredTokens,
        )

    private suspend fun takeEvent(open: ReceiveChannel<GenerateEvent>): AnswerStep? {
        val ready = open.tryReceive().getOrNull()
        return when (val event = ready ?: receive(open)) {
            null -> onFailure(AttemptFailure.TIMED_OUT)
            is GenerateEvent.Tokens -> onTokens(event)
            is GenerateEvent.Finished -> onFinished(event)
            is GenerateEvent.Failed -> onFailure(event.failure)
        }
    }

    private suspend fun receive(open: ReceiveChannel<GenerateEvent>): GenerateEvent? {
        val timeoutMs = if (attemptStarted) timeouts.nextChunkMs else timeouts.firstChunkMs
        return withTimeoutOrNull(timeoutMs) { open.receiveCatching().getOrNull() ?: GenerateEvent.Failed(AttemptFailure.BROKEN_CONNECTION) }
    }

    private fun onTokens(chunk: GenerateEvent.Tokens): AnswerStep? {
        if (!attemptStarted) {
            attemptStarted = true
            attempts.onFirstToken()
        }
        return when (val outcome = assembler.offer(chunk)) {
            is ChunkOutcome.Deliver -> AnswerStep.Tokens(outcome.tokens)
            ChunkOutcome.Nothing -> null
            ChunkOutcome.Malformed -> onFailure(AttemptFailure.SERVER_ERROR)
        }
    }

    private fun onFinished(event: GenerateEvent.Finished): AnswerStep? {
        if (event.requestId != terms.requestId || event.totalTokens > assembler.deliveredTokens) {
            return onFailure(AttemptFailure.BROKEN_CONNECTION)
        }
        if (cachedPromptTokens == 0) cachedPromptTokens = event.cachedPromptTokens
        attempts.onCompleted(assembler.deliveredTokens, event.cachedPromptTokens)
        // A flow that has finished ends by itself, which lets the client keep its connection.
        leaveAttempt()
        if (event.reason == LENGTH && assembler.deliveredTokens >= allowance.reservedOutputTokens && allowance.extend()) return null
        return AnswerStep.Finished(event.reason, assembler.deliveredTokens, cachedPromptTokens)
    }

    private fun onFailure(failure: AttemptFailure): AnswerStep? {
        val failed = checkNotNull(server) { "a failure without an attempt" }
        attempts.onFailed(failure)
        closeAttempt()
        excluded += failed.backendServerId
        if (!failure.hadNoEffect) {
            mayHaveRun = true
            canceller.cancelAbandoned(failed, terms.requestId)
        }
        lastFailure = failure
        return if (attempts.tryRetry()) null else end(failed(failure))
    }

    private fun failed(failure: AttemptFailure) =
        Refusal(RefusalReason.BACKEND_FAILED, "attempt failed: ${failure.name.lowercase()}", RETRY_AFTER_MS)

    private fun end(refusal: Refusal): AnswerStep.End =
        if (mayHaveRun || assembler.deliveredTokens > 0) {
            AnswerStep.Broken(refusal, assembler.deliveredTokens)
        } else {
            AnswerStep.NotRun(refusal)
        }

    private fun closeAttempt() {
        events?.cancel()
        leaveAttempt()
    }

    private fun leaveAttempt() {
        events = null
        server = null
    }

    private companion object {
        private const val LENGTH = "length"
        private const val RETRY_AFTER_MS = 1_000L
    }
}

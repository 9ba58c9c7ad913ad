package org.lycheemount.caller

import com.github.michaelbull.result.getOrElse
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondBytesWriter
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.coroutineScope
import org.lycheemount.claims.RecordedOutcome
import org.lycheemount.common.MemoryAccount
import org.lycheemount.common.ModelId
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.stream.CompletionStep
import org.lycheemount.stream.EngineCanceller

/** Serves `POST /v1/chat/completions`. */
internal class ChatHandler(
    private val services: CallerServices,
    private val context: HandlerContext,
) {
    private val canceller = EngineCanceller(services.engine, services.dispatcher::isGone, services.scope, services.eventLog)

    suspend fun handle(call: ApplicationCall) {
        val memory = call.openMemory(services.memory, services.clock)
        try {
            handle(call, memory)
        } finally {
            memory.release()
        }
    }

    private suspend fun handle(
        call: ApplicationCall,
        memory: MemoryAccount,
    ) {
        val arrivedAtMs = services.clock.monotonicMs()
        val team = context.authenticator.authenticate(call.request.headers["Authorization"]).getOrElse { return refuse(call, it) }
        val body = context.bodyReader.read(call, memory).getOrElse { return refuse(call, it) }
        val request = parseChatRequest(body).getOrElse { return refuse(call, it) }
        val snapshot = services.configuration.current()
        val model =
            snapshot.models[ModelId(request.model)]
                ?: return refuse(call, Refusal(RefusalReason.UNKNOWN_MODEL, "model: must be one of those listed by GET /v1/models"))
        val options =
            parseRequestOptions(
                call.request.headers,
                model.defaultWorkClassId,
                snapshot,
                arrivedAtMs,
            ).getOrElse { return refuse(call, it) }
        services.dispatcher.onWorkClasses(snapshot.workClasses)
        val admission = context.admission.admit(team, ROUTE_PREFIX + model.modelId.value).getOrElse { return refuse(call, it) }
        try {
            val requestedTokens = request.maxCompletionTokens ?: request.maxTokens ?: model.maxOutputTokens
            val maxOutputTokens = minOf(requestedTokens, model.maxOutputTokens)
            val chat =
                AdmittedChatRequest(
                    context.requestIds.next(),
                    admission,
                    model,
                    encodePrompt(request),
                    maxOutputTokens,
                    options,
                    arrivedAtMs,
                )
            call.addRequestIdHeader(chat.requestId)
            runOnce(call, chat, request, body)
        } finally {
            admission.release()
        }
    }

    private suspend fun runOnce(
        call: ApplicationCall,
        chat: AdmittedChatRequest,
        request: ChatRequest,
        body: ByteArray,
    ) {
        val key = chat.options.idempotencyKey
        if (key == null) {
            complete(call, chat, request, recorder = null)
            return
        }
        val teamId = chat.admission.team.teamId
        val fingerprint = requestFingerprint("POST", "/v1/chat/completions", body)
        when (val decision = context.claimer.claim(teamId, key, chat.requestId, fingerprint, chat.options.deadlineAtMs)) {
            is ClaimDecision.Refuse -> refuse(call, decision.refusal, decision.outcome)
            is ClaimDecision.Replay -> call.replay(decision.outcome)
            ClaimDecision.Run -> runAndRecord(call, chat, request)
        }
    }

    private suspend fun runAndRecord(
        call: ApplicationCall,
        chat: AdmittedChatRequest,
        request: ChatRequest,
    ) {
        val recorder = ResponseRecorder()
        try {
            complete(call, chat, request, recorder)
        } finally {
            context.recordInBackground(
                chat.admission.team.teamId,
                checkNotNull(chat.options.idempotencyKey),
                chat.requestId,
                recorder.outcome(),
            )
        }
    }

    private suspend fun complete(
        call: ApplicationCall,
        chat: AdmittedChatRequest,
        request: ChatRequest,
        recorder: ResponseRecorder?,
    ) = coroutineScope {
        val execution = ChatExecution(services, context.metrics, canceller, chat, this)
        val refusal = execution.reserve(context.reserver)
        if (refusal != null) {
            recorder?.finish(RecordedOutcome.NotRun(refusal))
            refuse(call, refusal)
            return@coroutineScope
        }
        context.openRequests.add(execution)
        val includeUsage = request.streamOptions?.includeUsage == true
        val createdAtSeconds = services.clock.wallClockMs() / MS_PER_SECOND
        val writer = ChatResponseWriter(chat.requestId, request.model, createdAtSeconds, includeUsage)
        try {
            if (request.stream) {
                respondStream(
                    call,
                    chat,
                    execution,
                    writer,
                    recorder,
                )
            } else {
                respondNonStreaming(call, chat, execution, writer, recorder)
            }
        } finally {
            // Has no effect on a settled request. A request is unsettled here only if its caller has disconnected.
            execution.onCallerDisconnected()
            context.openRequests.remove(chat.requestId)
        }
    }

    private suspend fun respondNonStreaming(
        call: ApplicationCall,
        chat: AdmittedChatRequest,
        execution: ChatExecution,
        writer: ChatResponseWriter,
        recorder: ResponseRecorder?,
    ) {
        val content = StringBuilder()
        while (true) {
            when (val step = execution.stream.next()) {
                is CompletionStep.Tokens -> step.tokens.forEach(content::append)
                is CompletionStep.Finished -> {
                    execution.settle(step)
                    val json = writer.nonStreamingResponse(content.toString(), step.reason, usage(chat, step)).encodeToByteArray()
                    recorder?.finish(RecordedOutcome.Ran(HttpStatusCode.OK.value, JSON_TYPE, json))
                    markSucceeded(call)
                    return call.respondBytes(json, ContentType.Application.Json)
                }

                is CompletionStep.NotRun -> return refuseCompletion(call, execution, step, recorder)
                is CompletionStep.Broken -> return refuseCompletion(call, execution, step, recorder)
            }
        }
    }

    private suspend fun respondStream(
        call: ApplicationCall,
        chat: AdmittedChatRequest,
        execution: ChatExecution,
        writer: ChatResponseWriter,
        recorder: ResponseRecorder?,
    ) {
        val first = execution.stream.next()
        if (first is CompletionStep.NotRun) return refuseCompletion(call, execution, first, recorder)
        if (first is CompletionStep.Broken) return refuseCompletion(call, execution, first, recorder)
        markSucceeded(call)
        call.respondBytesWriter(ContentType.Text.EventStream) {
            var step = first
            var unflushedBytes = 0
            while (step is CompletionStep.Tokens) {
                unflushedBytes += write(writer.tokens(step.tokens), recorder)
                if (!execution.stream.hasBufferedEvent || unflushedBytes >= MAX_UNFLUSHED_BYTES) {
                    flush()
                    unflushedBytes = 0
                }
                step = execution.stream.next()
            }
            val end = step as CompletionStep.End
            execution.settle(end)
            write(streamEnd(chat, writer, end), recorder)
            recorder?.finishStream()
            flush()
        }
    }

    private fun streamEnd(
        chat: AdmittedChatRequest,
        writer: ChatResponseWriter,
        end: CompletionStep.End,
    ): String =
        when (end) {
            is CompletionStep.Finished -> writer.streamEnd(end.reason, usage(chat, end))
            is CompletionStep.NotRun -> writer.streamError(end.refusal)
            is CompletionStep.Broken -> writer.streamError(end.refusal)
        }

    /** Writes [event] and returns its size in bytes. */
    private suspend fun ByteWriteChannel.write(
        event: String,
        recorder: ResponseRecorder?,
    ): Int {
        val bytes = event.encodeToByteArray()
        recorder?.append(bytes)
        writeFully(bytes)
        return bytes.size
    }

    private suspend fun refuseCompletion(
        call: ApplicationCall,
        execution: ChatExecution,
        end: CompletionStep.End,
        recorder: ResponseRecorder?,
    ) {
        execution.settle(end)
        when (end) {
            is CompletionStep.Finished -> error("a finished completion cannot be refused")
            is CompletionStep.NotRun -> {
                recorder?.finish(RecordedOutcome.NotRun(end.refusal))
                refuse(call, end.refusal)
            }

            is CompletionStep.Broken -> {
                recorder?.finish(RecordedOutcome.Unknown(end.refusal))
                refuse(call, end.refusal, if (end.deliveredTokens > 0) WireOutcome.RAN else WireOutcome.UNKNOWN)
            }
        }
    }

    private fun markSucceeded(call: ApplicationCall) {
        call.response.header(OUTCOME_HEADER, WireOutcome.RAN.wireName)
        context.metrics.requests
            .labelValues(KIND, WireOutcome.RAN.wireName, "ok")
            .inc()
    }

    private suspend fun refuse(
        call: ApplicationCall,
        refusal: Refusal,
        outcome: WireOutcome = WireOutcome.NOT_RUN,
    ) = context.refuse(call, KIND, refusal, outcome)

    private fun usage(
        chat: AdmittedChatRequest,
        end: CompletionStep.Finished,
    ) = Usage(chat.prompt.promptTokens, end.outputTokens, end.cachedPromptTokens)

    private companion object {
        private const val KIND = "chat"
        private const val ROUTE_PREFIX = "model:"
        private const val MS_PER_SECOND = 1_000L
        private const val JSON_TYPE = "application/json"
        private const val MAX_UNFLUSHED_BYTES = 16_384
    }
}

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
import org.lycheemount.common.ModelId
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.stream.CompletionStep
import org.lycheemount.stream.EngineCanceller

/** Serves `POST /v1/chat/completions`. */
internal class ChatHandler(
    private val services: CallerServices,
    private val shared: CallerShared,
) {
    private val canceller = EngineCanceller(services.engine, services.dispatcher::isGone, services.scope, services.eventLog)

    suspend fun handle(call: ApplicationCall) {
        val arrivedAtMs = services.clock.monotonicMs()
        val team = shared.authenticator.authenticate(call.request.headers["Authorization"]).getOrElse { return refuse(call, it) }
        val body = shared.bodyReader.read(call).getOrElse { return refuse(call, it) }
        val request = parseChatRequest(body).getOrElse { return refuse(call, it) }
        val snapshot = services.configuration.current()
        val model =
            snapshot.models[ModelId(request.model)]
                ?: return refuse(call, Refusal(RefusalReason.UNKNOWN_MODEL, "model: accepted are those of GET /v1/models"))
        val terms =
            parseWorkTerms(
                call.request.headers,
                model.defaultWorkClassId,
                snapshot,
                arrivedAtMs,
            ).getOrElse { return refuse(call, it) }
        services.dispatcher.onWorkClasses(snapshot.workClasses)
        val entry = shared.gate.enter(team, ROUTE_PREFIX + model.modelId.value).getOrElse { return refuse(call, it) }
        try {
            val wanted = request.maxCompletionTokens ?: request.maxTokens ?: model.maxOutputTokens
            val maxOutputTokens = minOf(wanted, model.maxOutputTokens)
            val work = ChatWork(shared.requestIds.next(), entry, model, encodePrompt(request), maxOutputTokens, terms, arrivedAtMs)
            call.identify(work.requestId)
            runClaimed(call, work, request, body)
        } finally {
            entry.leave()
        }
    }

    private suspend fun runClaimed(
        call: ApplicationCall,
        work: ChatWork,
        request: ChatRequest,
        body: ByteArray,
    ) {
        val key = work.terms.idempotencyKey
        if (key == null) {
            run(call, work, request, transcript = null)
            return
        }
        val teamId = work.entry.team.teamId
        val fingerprint = requestFingerprint("POST", "/v1/chat/completions", body)
        when (val decision = shared.claims.claim(teamId, key, work.requestId, fingerprint, work.terms.deadlineAtMs)) {
            is ClaimDecision.Refuse -> refuse(call, decision.refusal, decision.outcome)
            is ClaimDecision.Replay -> call.replay(decision.outcome)
            ClaimDecision.Run -> runAndRecord(call, work, request)
        }
    }

    private suspend fun runAndRecord(
        call: ApplicationCall,
        work: ChatWork,
        request: ChatRequest,
    ) {
        val transcript = Transcript()
        try {
            run(call, work, request, transcript)
        } finally {
            shared.recordInBackground(work.entry.team.teamId, checkNotNull(work.terms.idempotencyKey), work.requestId, transcript.outcome())
        }
    }

    private suspend fun run(
        call: ApplicationCall,
        work: ChatWork,
        request: ChatRequest,
        transcript: Transcript?,
    ) = coroutineScope {
        val execution = ChatExecution(services, shared.metrics, canceller, work, this)
        val refusal = execution.reserve(shared.reserver)
        if (refusal != null) {
            transcript?.end(RecordedOutcome.NotRun(refusal))
            refuse(call, refusal)
            return@coroutineScope
        }
        shared.openRequests.add(execution)
        val includeUsage = request.streamOptions?.includeUsage == true
        val createdAtSeconds = services.clock.wallClockMs() / MS_PER_SECOND
        val writer = ChatResponseWriter(work.requestId, request.model, createdAtSeconds, includeUsage)
        try {
            if (request.stream) stream(call, work, execution, writer, transcript) else whole(call, work, execution, writer, transcript)
        } finally {
            // Has no effect on a settled request; any other way out of here means that the caller is gone.
            execution.onCallerGone()
            shared.openRequests.remove(work.requestId)
        }
    }

    private suspend fun whole(
        call: ApplicationCall,
        work: ChatWork,
        execution: ChatExecution,
        writer: ChatResponseWriter,
        transcript: Transcript?,
    ) {
        val content = StringBuilder()
        while (true) {
            when (val step = execution.stream.next()) {
                is CompletionStep.Tokens -> step.tokens.forEach(content::append)
                is CompletionStep.Finished -> {
                    execution.settle(step)
                    val json = writer.whole(content.toString(), step.reason, usage(work, step)).encodeToByteArray()
                    transcript?.end(RecordedOutcome.Ran(HttpStatusCode.OK.value, JSON_TYPE, json))
                    succeeded(call)
                    return call.respondBytes(json, ContentType.Application.Json)
                }

                is CompletionStep.NotRun -> return refuseEnd(call, execution, step, transcript)
                is CompletionStep.Broken -> return refuseEnd(call, execution, step, transcript)
            }
        }
    }

    private suspend fun stream(
        call: ApplicationCall,
        work: ChatWork,
        execution: ChatExecution,
        writer: ChatResponseWriter,
        transcript: Transcript?,
    ) {
        val first = execution.stream.next()
        if (first is CompletionStep.NotRun) return refuseEnd(call, execution, first, transcript)
        if (first is CompletionStep.Broken) return refuseEnd(call, execution, first, transcript)
        succeeded(call)
        call.respondBytesWriter(ContentType.Text.EventStream) {
            var step = first
            while (step is CompletionStep.Tokens) {
                write(writer.tokens(step.tokens), transcript)
                if (!execution.stream.hasBufferedEvent) flush()
                step = execution.stream.next()
            }
            val end = step as CompletionStep.End
            execution.settle(end)
            write(streamEnd(work, writer, end), transcript)
            transcript?.endStream()
            flush()
        }
    }

    private fun streamEnd(
        work: ChatWork,
        writer: ChatResponseWriter,
        end: CompletionStep.End,
    ): String =
        when (end) {
            is CompletionStep.Finished -> writer.streamEnd(end.reason, usage(work, end))
            is CompletionStep.NotRun -> writer.streamError(end.refusal)
            is CompletionStep.Broken -> writer.streamError(end.refusal)
        }

    private suspend fun ByteWriteChannel.write(
        event: String,
        transcript: Transcript?,
    ) {
        val bytes = event.encodeToByteArray()
        transcript?.append(bytes)
        writeFully(bytes)
    }

    private suspend fun refuseEnd(
        call: ApplicationCall,
        execution: ChatExecution,
        end: CompletionStep.End,
        transcript: Transcript?,
    ) {
        execution.settle(end)
        when (end) {
            is CompletionStep.Finished -> error("a finished answer is not refused")
            is CompletionStep.NotRun -> {
                transcript?.end(RecordedOutcome.NotRun(end.refusal))
                refuse(call, end.refusal)
            }

            is CompletionStep.Broken -> {
                transcript?.end(RecordedOutcome.Unknown(end.refusal))
                refuse(call, end.refusal, if (end.deliveredTokens > 0) WireOutcome.RAN else WireOutcome.UNKNOWN)
            }
        }
    }

    private fun succeeded(call: ApplicationCall) {
        call.response.header(OUTCOME_HEADER, WireOutcome.RAN.wireName)
        shared.metrics.requests
            .labelValues(KIND, WireOutcome.RAN.wireName, "ok")
            .inc()
    }

    private suspend fun refuse(
        call: ApplicationCall,
        refusal: Refusal,
        outcome: WireOutcome = WireOutcome.NOT_RUN,
    ) = shared.refuse(call, KIND, refusal, outcome)

    private fun usage(
        work: ChatWork,
        end: CompletionStep.Finished,
    ) = Usage(work.prompt.promptTokens, end.outputTokens, end.cachedPromptTokens)

    private companion object {
        private const val KIND = "chat"
        private const val ROUTE_PREFIX = "model:"
        private const val MS_PER_SECOND = 1_000L
        private const val JSON_TYPE = "application/json"
    }
}

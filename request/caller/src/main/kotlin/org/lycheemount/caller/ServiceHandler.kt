package org.lycheemount.caller

import com.github.michaelbull.result.getOrElse
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import org.lycheemount.backend.ServiceCallOutcome
import org.lycheemount.claims.RecordedOutcome
import org.lycheemount.common.MemoryAccount
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RunOutcome
import org.lycheemount.common.ServiceId

/** Serves `/services/{service}/...`. */
internal class ServiceHandler(
    private val services: CallerServices,
    private val context: HandlerContext,
) {
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
        val serviceId = ServiceId(call.parameters["service"].orEmpty())
        val snapshot = services.configuration.current()
        val service =
            snapshot.services[serviceId]
                ?: return refuse(call, Refusal(RefusalReason.UNKNOWN_SERVICE, "service ${serviceId.value} is not known"))
        val options =
            parseRequestOptions(
                call.request.headers,
                service.defaultWorkClassId,
                snapshot,
                arrivedAtMs,
            ).getOrElse { return refuse(call, it) }
        val body = context.bodyReader.read(call, memory).getOrElse { return refuse(call, it) }
        services.dispatcher.onWorkClasses(snapshot.workClasses)
        val method = call.request.httpMethod.value
        val pathAndQuery =
            call.request.uri
                .removePrefix("/services/${serviceId.value}")
                .let { if (it.startsWith('/')) it else "/$it" }
        val isIdempotent = isIdempotent(service, method, pathAndQuery.substringBefore('?'))
        val admission = context.admission.admit(team, ROUTE_PREFIX + serviceId.value).getOrElse { return refuse(call, it) }
        val requestId = context.requestIds.next()
        call.addRequestIdHeader(requestId)
        val admitted =
            AdmittedServiceCall(
                requestId,
                admission,
                service,
                options,
                arrivedAtMs,
                isIdempotent,
                method,
                pathAndQuery,
                forwardedHeaders(call),
                body,
            )
        try {
            runOnce(call, admitted, memory)
        } finally {
            admission.release()
        }
    }

    private suspend fun runOnce(
        call: ApplicationCall,
        admitted: AdmittedServiceCall,
        memory: MemoryAccount,
    ) {
        val key = admitted.options.idempotencyKey ?: return respond(call, execute(admitted, memory))
        val fingerprint = requestFingerprint(admitted.method, call.request.uri, admitted.body)
        when (
            val decision =
                context.claimer.claim(
                    admitted.admission.team.teamId,
                    key,
                    admitted.requestId,
                    fingerprint,
                    admitted.options.deadlineAtMs,
                )
        ) {
            is ClaimDecision.Refuse -> refuse(call, decision.refusal, decision.outcome)
            is ClaimDecision.Replay -> call.replay(decision.outcome)
            ClaimDecision.Run -> respond(call, execute(admitted, memory))
        }
    }

    /** Runs the call in the process scope, so that a caller that disconnects does not make the outcome of a started call unknown. */
    private suspend fun execute(
        admitted: AdmittedServiceCall,
        memory: MemoryAccount,
    ): RunOutcome<ServiceCallOutcome.Response> {
        val execution = ServiceExecution(services, context.metrics, context.reserver, admitted, memory)
        context.openRequests.add(execution)
        memory.retain()
        services.drain.retain()
        val running =
            services.scope.async {
                try {
                    val outcome = execution.run()
                    admitted.options.idempotencyKey?.let {
                        context.recordInBackground(
                            execution.teamId,
                            it,
                            admitted.requestId,
                            recordedOutcome(outcome),
                        )
                    }
                    outcome
                } finally {
                    context.openRequests.remove(admitted.requestId)
                    services.drain.release()
                    memory.release()
                }
            }
        try {
            return running.await()
        } catch (exception: CancellationException) {
            execution.cancelIfQueued()
            throw exception
        }
    }

    private suspend fun respond(
        call: ApplicationCall,
        outcome: RunOutcome<ServiceCallOutcome.Response>,
    ) {
        when (outcome) {
            is RunOutcome.NotRun -> refuse(call, outcome.refusal)
            is RunOutcome.Unknown -> refuse(call, outcome.refusal, WireOutcome.UNKNOWN)
            is RunOutcome.Ran -> {
                context.metrics.requests
                    .labelValues(KIND, WireOutcome.RAN.wireName, "ok")
                    .inc()
                call.response.header(OUTCOME_HEADER, WireOutcome.RAN.wireName)
                val response = outcome.value
                call.respondBytes(
                    response.body,
                    response.contentType?.let(ContentType::parse),
                    HttpStatusCode.fromValue(response.httpStatus),
                )
            }
        }
    }

    private fun recordedOutcome(outcome: RunOutcome<ServiceCallOutcome.Response>): RecordedOutcome =
        when (outcome) {
            is RunOutcome.Ran -> RecordedOutcome.Ran(outcome.value.httpStatus, outcome.value.contentType, outcome.value.body)
            is RunOutcome.NotRun -> RecordedOutcome.NotRun(outcome.refusal)
            is RunOutcome.Unknown -> RecordedOutcome.Unknown(outcome.refusal)
        }

    private fun forwardedHeaders(call: ApplicationCall): List<Pair<String, String>> =
        call.request.headers
            .entries()
            .filter { (name, _) -> name.lowercase() !in NOT_FORWARDED_HEADERS && !name.startsWith("x-lycheemount-", ignoreCase = true) }
            .flatMap { (name, values) -> values.map { name to it } }

    private suspend fun refuse(
        call: ApplicationCall,
        refusal: Refusal,
        outcome: WireOutcome = WireOutcome.NOT_RUN,
    ) = context.refuse(call, KIND, refusal, outcome)

    private companion object {
        private const val KIND = "service"
        private const val ROUTE_PREFIX = "service:"

        // Hop-by-hop headers, and the bearer key, which is a secret between the team and the router.
        private val NOT_FORWARDED_HEADERS =
            setOf(
                "authorization",
                "connection",
                "content-length",
                "expect",
                "host",
                "keep-alive",
                "proxy-authorization",
                "te",
                "trailer",
                "transfer-encoding",
                "upgrade",
            )
    }
}

package org.lycheemount.caller

import io.ktor.server.application.ApplicationCall
import kotlinx.coroutines.launch
import org.lycheemount.claims.RecordedOutcome
import org.lycheemount.common.IdempotencyKey
import org.lycheemount.common.Refusal
import org.lycheemount.common.RequestId
import org.lycheemount.common.TeamId

/** Components shared by all handlers of [CallerApi]. */
internal class HandlerContext(
    private val services: CallerServices,
) {
    val authenticator = TeamAuthenticator(services.configuration)
    val bodyReader = services.run { BodyReader(limits.bodyTimeoutMs, clock) { limits.maxBodyBytes } }
    val requestIds = RequestIdFactory(services.peers.self)
    val admission = AdmissionController(services.drain, services.clock)
    val reserver = TokenReserver(services.ledger, services.replenisher, services.clock)
    val openRequests = OpenRequests()
    val claimer = IdempotencyClaimer(services.claims, services.clock)
    val metrics = CallerMetrics(services.metricsRegistry, services.drain)

    suspend fun refuse(
        call: ApplicationCall,
        kind: String,
        refusal: Refusal,
        outcome: WireOutcome = WireOutcome.NOT_RUN,
    ) {
        metrics.requests.labelValues(kind, outcome.wireName, refusal.reason.wireName).inc()
        call.refuse(refusal, outcome)
    }

    /** Records the outcome of a claimed request without delaying its response. */
    fun recordInBackground(
        teamId: TeamId,
        key: IdempotencyKey,
        requestId: RequestId,
        outcome: RecordedOutcome,
    ) {
        services.drain.retain()
        services.scope.launch {
            try {
                services.claims.finish(teamId, key, requestId, outcome)
            } finally {
                services.drain.release()
            }
        }
    }
}

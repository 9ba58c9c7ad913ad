package org.lycheemount.caller

import com.github.michaelbull.result.getOrElse
import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterId
import org.lycheemount.common.TeamId
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerReply

/** Serves `DELETE /v1/requests/{id}` and forwards cancellations to the router that owns the request. */
internal class CancelHandler(
    private val services: CallerServices,
    private val context: HandlerContext,
) {
    /** Registers the handler for cancellations forwarded by other routers. */
    fun register() = services.peers.register(CHANNEL) { _, payload -> Cbor.encodeToByteArray(cancelForPeer(payload)) }

    suspend fun handle(call: ApplicationCall) {
        val team = context.authenticator.authenticate(call.request.headers["Authorization"]).getOrElse { return refuse(call, it) }
        val requestId = RequestId(call.parameters["id"].orEmpty())
        val owner = RequestIdFactory.ownerOf(requestId) ?: return refuse(call, notFound(), WireOutcome.NOT_RUN)
        if (owner == services.peers.self.routerId) {
            respond(call, requestId, context.openRequests.cancel(team.teamId, requestId))
        } else {
            forward(call, owner, CancelMessage(team.teamId, requestId))
        }
    }

    private suspend fun forward(
        call: ApplicationCall,
        owner: RouterId,
        message: CancelMessage,
    ) {
        when (val reply = services.peers.call(owner, CHANNEL, Cbor.encodeToByteArray(message), FORWARD_TIMEOUT_MS)) {
            is PeerReply.Received -> respond(call, message.requestId, Cbor.decodeFromByteArray<CancelReply>(reply.payload))
            PeerReply.NotDelivered -> refuse(call, unreachable("router ${owner.value} is not reachable"), WireOutcome.UNKNOWN)
            PeerReply.Unknown -> refuse(call, unreachable("router ${owner.value} has not responded"), WireOutcome.UNKNOWN)
        }
    }

    private suspend fun cancelForPeer(payload: ByteArray): CancelReply {
        val message =
            try {
                Cbor.decodeFromByteArray<CancelMessage>(payload)
            } catch (exception: SerializationException) {
                services.eventLog.warn("peer_message_malformed", "channel" to CHANNEL.value, "error" to exception.message)
                return CancelReply(CancelResult.NOT_FOUND)
            }
        return context.openRequests.cancel(message.teamId, message.requestId)
    }

    private suspend fun respond(
        call: ApplicationCall,
        requestId: RequestId,
        reply: CancelReply,
    ) {
        val outcome =
            when (reply.result) {
                CancelResult.RAN -> WireOutcome.RAN
                CancelResult.NOT_RUN -> WireOutcome.NOT_RUN
                CancelResult.UNKNOWN -> WireOutcome.UNKNOWN
                // Ended requests are not kept, so an unknown id may belong to a request that ran.
                CancelResult.NOT_FOUND -> return refuse(call, notFound(), WireOutcome.UNKNOWN)
            }
        val body =
            buildJsonObject {
                put("id", requestId.value)
                put("outcome", outcome.wireName)
                put("generated_tokens", reply.generatedTokens)
            }
        call.response.header(OUTCOME_HEADER, outcome.wireName)
        call.respondText(body.toString(), ContentType.Application.Json)
    }

    private suspend fun refuse(
        call: ApplicationCall,
        refusal: Refusal,
        outcome: WireOutcome = WireOutcome.NOT_RUN,
    ) = context.refuse(call, "cancel", refusal, outcome)

    private fun notFound() = Refusal(RefusalReason.UNKNOWN_REQUEST, "no request of this team with this id is in progress")

    private fun unreachable(detail: String) = Refusal(RefusalReason.PEER_UNREACHABLE, detail, retryAfterMs = 1_000)

    private companion object {
        private val CHANNEL = PeerChannel("cancel")

        // Covers several cancellation retries at an engine that responds slowly.
        private const val FORWARD_TIMEOUT_MS = 5_000L
    }
}

/** Cancellation forwarded to the router that owns [requestId]. */
@Serializable
internal data class CancelMessage(
    val teamId: TeamId,
    val requestId: RequestId,
)

package org.lycheemount.caller

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.lycheemount.common.StateDumpSource

/** Serves `/metrics`, `/state`, `/health/live` and `/health/ready`, which require no authentication. */
internal class OperationsHandler(
    private val services: CallerServices,
    private val context: HandlerContext,
) {
    private val metrics = MetricsHandler(services.metricsRegistry)

    suspend fun metrics(call: ApplicationCall) = metrics.respond(call)

    suspend fun state(call: ApplicationCall) {
        val sources = services.stateSources + listOf(services.dispatcher, context.openRequests)
        val state =
            buildJsonObject {
                put("process", processState())
                sources.forEach { put(it.name, dump(it)) }
            }
        call.respondText(state.toString(), ContentType.Application.Json)
    }

    suspend fun ready(call: ApplicationCall) {
        val reasons = services.notReadyReasons() + if (services.drain.isDraining) listOf("draining") else emptyList()
        val body =
            buildJsonObject {
                put("ready", reasons.isEmpty())
                put("reasons", buildJsonArray { reasons.forEach { add(JsonPrimitive(it)) } })
            }
        val status = if (reasons.isEmpty()) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
        call.respondText(body.toString(), ContentType.Application.Json, status)
    }

    suspend fun live(call: ApplicationCall) = call.respondText("""{"live":true}""", ContentType.Application.Json)

    private fun processState(): JsonObject =
        buildJsonObject {
            put("routerId", services.peers.self.routerId.value)
            put("vmId", services.peers.self.vmId.value)
            put("zoneId", services.peers.self.zoneId.value)
            put("incarnation", services.peers.self.incarnation)
            put("draining", services.drain.isDraining)
            put("requestsInProgress", services.drain.requestsInProgress)
            put("configurationSequence", services.configuration.current().sequence)
            put("connectedPeers", services.peers.connectedPeers().size)
            context.admission.runningRequests().forEach { (team, count) -> put("runningRequests:${team.value}", count) }
        }

    private fun dump(source: StateDumpSource): JsonObject =
        try {
            source.dumpState()
        } catch (exception: RuntimeException) {
            // A failing source must not hide the others from the operator.
            buildJsonObject { put("error", exception.toString()) }
        }
}

package org.lycheemount.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receive
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.lycheemount.backend.EngineLoad
import org.lycheemount.backend.REFUSED_BUSY
import org.lycheemount.backend.REFUSED_LEAVING

/**
 * Response body of a service stand-in.
 *
 * @property execution sequence number of this execution, over all servers of the service.
 */
@Serializable
data class ServiceStandInResponse(
    val service: String,
    val server: String,
    val method: String,
    val path: String,
    val requestId: String?,
    val businessKey: String?,
    val execution: Long,
    val bodyBytes: Int,
)

internal fun Application.serviceRoutes(service: ServiceStandIn) =
    routing {
        get("/__load") {
            service.awaitHangEnd()
            val load = EngineLoad(0, service.runningCalls.get(), 0, service.settings.capacity, service.faults.leaving)
            call.respondJson(EngineLoad.serializer(), load)
        }
        get("/faults") { call.respondJson(ServiceFaults.serializer(), service.faults) }
        post("/faults") {
            service.faults = call.receiveChanges(ServiceFaults.serializer(), service.faults) ?: return@post
            call.respondJson(ServiceFaults.serializer(), service.faults)
        }
        get("/counters") { call.respondJson(ServiceCounters.serializer(), service.counters()) }
        route("{...}") { handle { handleCall(call, service) } }
    }

private suspend fun handleCall(
    call: ApplicationCall,
    service: ServiceStandIn,
) {
    val faults = service.faults
    if (faults.leaving) return call.refuse(REFUSED_LEAVING)
    if (faults.busy) return call.refuse(REFUSED_BUSY)
    service.runningCalls.incrementAndGet()
    try {
        executeCall(call, service, call.receive<ByteArray>())
    } finally {
        service.runningCalls.decrementAndGet()
    }
}

private suspend fun executeCall(
    call: ApplicationCall,
    service: ServiceStandIn,
    body: ByteArray,
) {
    delay(service.faults.delayMs + service.settings.serviceTimeMs)
    val requestId = call.request.headers["x-request-id"]
    val businessKey = businessKeyOf(call, body)
    val execution = service.records.execute(requestId, businessKey)
    service.awaitHangEnd()
    if (service.takeResponseDrop()) return call.dropResponse()
    if (service.faults.failing) return call.respondText("failed on purpose", status = HttpStatusCode.InternalServerError)
    val response =
        ServiceStandInResponse(
            service.settings.serviceId.value,
            service.backendServerId.value,
            call.request.httpMethod.value,
            call.request.path(),
            requestId,
            businessKey,
            execution,
            body.size,
        )
    call.respondText(standInJson.encodeToString(ServiceStandInResponse.serializer(), response), ContentType.Application.Json)
}

/** The business key is the `businessKey` field of a JSON body, or the `x-business-key` header; reads have none. */
private fun businessKeyOf(
    call: ApplicationCall,
    body: ByteArray,
): String? {
    if (call.request.httpMethod in setOf(HttpMethod.Get, HttpMethod.Head)) return null
    val inBody =
        try {
            val json = standInJson.decodeFromString(JsonObject.serializer(), body.decodeToString())
            (json["businessKey"] as? JsonPrimitive)?.content
        } catch (failure: SerializationException) {
            null
        }
    return inBody ?: call.request.headers["x-business-key"]
}

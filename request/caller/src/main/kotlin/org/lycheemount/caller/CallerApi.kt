package org.lycheemount.caller

import io.ktor.http.ContentType
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import java.io.IOException

/** HTTP API for callers: chat completions, plain services, cancellation and operations endpoints. */
class CallerApi(
    private val services: CallerServices,
) {
    private val context = HandlerContext(services)
    private val chatHandler = ChatHandler(services, context)
    private val serviceHandler = ServiceHandler(services, context)
    private val cancelHandler = CancelHandler(services, context)
    private val operationsHandler = OperationsHandler(services, context)

    init {
        cancelHandler.register()
    }

    /** Adds the routes to [application], which a caller server must run. */
    fun installInto(application: Application) {
        application.installPacedResponses(services.memory, services.clock)
        application.routing {
            cancelOnDisconnect {
                post("/v1/chat/completions") { handlingErrors(call) { chatHandler.handle(call) } }
                get("/v1/models") { handlingErrors(call) { respondModels(call) } }
                delete("/v1/requests/{id}") { handlingErrors(call) { cancelHandler.handle(call) } }
                route("/services/{service}/{path...}") { handle { handlingErrors(call) { serviceHandler.handle(call) } } }
            }
            get("/metrics") { handlingErrors(call) { operationsHandler.metrics(call) } }
            get("/state") { handlingErrors(call) { operationsHandler.state(call) } }
            get("/health/live") { handlingErrors(call) { operationsHandler.live(call) } }
            get("/health/ready") { handlingErrors(call) { operationsHandler.ready(call) } }
        }
    }

    private suspend fun respondModels(call: ApplicationCall) {
        val list =
            buildJsonObject {
                put("object", "list")
                putJsonArray("data") {
                    services.configuration.current().models.values.forEach {
                        addJsonObject {
                            put("id", it.modelId.value)
                            put("object", "model")
                            put("created", 0)
                            put("owned_by", "lycheemount")
                        }
                    }
                }
            }
        call.respondText(list.toString(), ContentType.Application.Json)
    }

    /** Runs [handler]; an unexpected exception fails only this request. */
    private suspend fun handlingErrors(
        call: ApplicationCall,
        handler: suspend () -> Unit,
    ) {
        try {
            handler()
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: IOException) {
            services.eventLog.info("caller_connection_lost", "error" to exception.message)
        } catch (exception: Exception) {
            services.eventLog.warn("request_failed", "error" to exception.stackTraceToString())
            val refusal = Refusal(RefusalReason.BACKEND_FAILED, "internal error")
            if (!call.response.isCommitted) call.refuse(refusal, WireOutcome.UNKNOWN)
        }
    }
}

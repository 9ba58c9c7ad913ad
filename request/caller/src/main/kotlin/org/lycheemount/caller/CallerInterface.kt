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

/** The callers' HTTP interface. */
class CallerInterface(
    private val services: CallerServices,
) {
    private val shared = CallerShared(services)
    private val chat = ChatHandler(services, shared)
    private val plain = ServiceHandler(services, shared)
    private val cancel = CancelHandler(services, shared)
    private val operations = OperationsHandler(services, shared)

    init {
        cancel.register()
    }

    /** Adds the routes to [application]. Its engine must report closed connections, as CIO and Netty do. */
    fun installInto(application: Application) {
        application.routing {
            cancelledWithCaller {
                post("/v1/chat/completions") { guarded(call) { chat.handle(call) } }
                get("/v1/models") { guarded(call) { models(call) } }
                delete("/v1/requests/{id}") { guarded(call) { cancel.handle(call) } }
                route("/services/{service}/{path...}") { handle { guarded(call) { plain.handle(call) } } }
            }
            get("/metrics") { guarded(call) { operations.metrics(call) } }
            get("/state") { guarded(call) { operations.state(call) } }
            get("/health/live") { guarded(call) { operations.live(call) } }
            get("/health/ready") { guarded(call) { operations.ready(call) } }
        }
    }

    private suspend fun models(call: ApplicationCall) {
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

    /** Keeps a fault of one request to that request. */
    private suspend fun guarded(
        call: ApplicationCall,
        handle: suspend () -> Unit,
    ) {
        try {
            handle()
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

package org.lycheemount.standin

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import org.lycheemount.backend.CacheEventPage
import org.lycheemount.backend.CancelRequest
import org.lycheemount.backend.CancelResponse
import org.lycheemount.backend.CommandResponse
import org.lycheemount.backend.DefaultPlainServiceClient
import org.lycheemount.backend.EngineAction
import org.lycheemount.backend.EngineCommand
import org.lycheemount.backend.EngineLoad
import org.lycheemount.backend.GenerateRequest
import org.lycheemount.backend.MoveCacheRequest
import org.lycheemount.backend.MoveCacheResponse
import org.lycheemount.backend.REFUSED_BUSY
import org.lycheemount.backend.REFUSED_HEADER
import org.lycheemount.backend.REFUSED_LEAVING
import org.lycheemount.common.ModelId
import org.lycheemount.standin.enginemodel.EngineAdmission
import org.lycheemount.standin.enginemodel.EngineEvent
import org.lycheemount.standin.enginemodel.EngineJob
import org.lycheemount.standin.enginemodel.OutputTokens

/**
 * Response of `GET /counters` of an engine.
 *
 * @property acceptances number of times each request id was accepted.
 */
@Serializable
internal data class EngineCounters(
    val slotsHeld: Int,
    val queuedRequests: Int,
    val generatedTokens: Long,
    val acceptances: Map<String, Int>,
)

internal fun Application.engineRoutes(engine: EngineStandIn) =
    routing {
        post("/v1/generate") {
            engine.awaitHangEnd()
            generate(engine, call.receiveJson(GenerateRequest.serializer()) ?: return@post)
        }
        post("/v1/cancel") {
            engine.awaitHangEnd()
            val body = call.receiveJson(CancelRequest.serializer()) ?: return@post
            val cancellation = engine.driver.withModel { model, nowUs -> model.cancel(body.requestId, nowUs) }
            call.respondJson(CancelResponse.serializer(), CancelResponse(cancellation.found, cancellation.generatedTokens))
        }
        get("/v1/load") {
            engine.awaitHangEnd()
            call.respondJson(EngineLoad.serializer(), currentLoad(engine))
        }
        get("/v1/cache-events") {
            engine.awaitHangEnd()
            val after = call.request.queryParameters["after"]?.toLongOrNull() ?: 0
            val page = engine.driver.withModel { model, nowUs -> model.cacheEvents(after, nowUs) }
            val response = CacheEventPage(page.lastSequence, page.storedPrefixHashes, page.evictedPrefixHashes, page.hasGap)
            call.respondJson(CacheEventPage.serializer(), response)
        }
        post("/v1/commands") {
            engine.awaitHangEnd()
            val command = call.receiveJson(EngineCommand.serializer()) ?: return@post
            call.respondJson(CommandResponse.serializer(), executeCommand(engine, command))
        }
        cacheMoveRoutes(engine)
        engineControlRoutes(engine)
    }

private suspend fun io.ktor.server.routing.RoutingContext.generate(
    engine: EngineStandIn,
    request: GenerateRequest,
) {
    val events = Channel<EngineEvent>(Channel.UNLIMITED)
    call.response.header(DefaultPlainServiceClient.REQUEST_ID_HEADER, request.requestId.value)
    when (engine.driver.submit(toEngineJob(request), events)) {
        EngineAdmission.ACCEPTED -> {
            engine.countAcceptance(request.requestId)
            call.respondBytesWriter(ContentType.Application.Json) { EngineStream(engine, request, events, this).write() }
        }
        EngineAdmission.LEAVING -> call.refuse(REFUSED_LEAVING)
        EngineAdmission.QUEUE_FULL, EngineAdmission.MODEL_NOT_LOADED, EngineAdmission.DUPLICATE -> call.refuse(REFUSED_BUSY)
    }
}

private fun toEngineJob(request: GenerateRequest) =
    EngineJob(
        requestId = request.requestId,
        modelId = request.modelId,
        promptTokens = request.promptTokens,
        prefixHashes = request.prefixHashes,
        naturalTokens = OutputTokens.naturalLength(request.prompt),
        maxOutputTokens = request.maxOutputTokens,
        priority = request.priority,
        startAtToken = request.startAtToken,
    )

private fun currentLoad(engine: EngineStandIn): EngineLoad {
    val load = engine.driver.withModel { model, nowUs -> model.load(nowUs) }
    return EngineLoad(
        ageMs = load.ageUs / US_PER_MS,
        runningRequests = load.runningRequests,
        queuedRequests = load.queuedRequests,
        capacity = load.capacity,
        leaving = load.leaving,
        loadedModels = load.loadedModels,
        fencingToken = load.highestFencingToken,
    )
}

/** An adapter is loaded as a separate model named `model:adapter`. */
private fun executeCommand(
    engine: EngineStandIn,
    command: EngineCommand,
): CommandResponse =
    engine.driver.withModel { model, nowUs ->
        val name = command.adapter?.let { ModelId("${command.modelId.value}:$it") } ?: command.modelId
        val accepted =
            when (command.action) {
                EngineAction.LOAD -> model.loadModel(name, command.version, command.fencingToken, nowUs)
                EngineAction.UNLOAD -> model.unloadModel(name, command.fencingToken, nowUs)
            }
        CommandResponse(accepted, model.highestFencingToken)
    }

private fun Route.cacheMoveRoutes(engine: EngineStandIn) {
    post("/v1/export-cache") {
        engine.awaitHangEnd()
        val body = call.receiveJson(MoveCacheRequest.serializer()) ?: return@post
        val blocks = engine.driver.withModel { model, _ -> model.exportableBlocks(body.prefixHashes) }
        call.respondJson(MoveCacheResponse.serializer(), MoveCacheResponse(blocks))
    }
    post("/v1/import-cache") {
        engine.awaitHangEnd()
        val body = call.receiveJson(MoveCacheRequest.serializer()) ?: return@post
        val blocks = requestCacheExport(body)
        val waitMs =
            engine.driver.withModel { model, nowUs -> (model.importBlocks(body.prefixHashes.take(blocks), nowUs) - nowUs) / US_PER_MS }
        delay(waitMs + 1)
        call.respondJson(MoveCacheResponse.serializer(), MoveCacheResponse(blocks))
    }
}

private suspend fun requestCacheExport(body: MoveCacheRequest): Int =
    HttpClient(CIO).use { client ->
        val text =
            client
                .post("http://${body.host}:${body.port}/v1/export-cache") {
                    setBody(standInJson.encodeToString(MoveCacheRequest.serializer(), body))
                }.bodyAsText()
        standInJson.decodeFromString(MoveCacheResponse.serializer(), text).movedBlocks
    }

private fun Route.engineControlRoutes(engine: EngineStandIn) {
    get("/faults") { call.respondJson(EngineFaults.serializer(), engine.faults) }
    post("/faults") {
        engine.faults = call.receiveChanges(EngineFaults.serializer(), engine.faults) ?: return@post
        call.respondJson(EngineFaults.serializer(), engine.faults)
    }
    get("/counters") {
        val acceptances = engine.acceptances().mapKeys { it.key.value }
        val counters =
            engine.driver.withModel { model, _ ->
                EngineCounters(model.slotsHeld, model.queuedRequests, model.generatedTokens, acceptances)
            }
        call.respondJson(EngineCounters.serializer(), counters)
    }
}

/** Responds 503 with [reason] in the header [REFUSED_HEADER], which states that the request had no effect. */
internal suspend fun ApplicationCall.refuse(reason: String) {
    response.header(REFUSED_HEADER, reason)
    respondText(reason, status = HttpStatusCode.ServiceUnavailable)
}

private const val US_PER_MS = 1_000L

package org.lycheemount.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.serialization.Serializable
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction
import org.lycheemount.platform.TransactionStatus
import org.lycheemount.platform.VmList
import org.lycheemount.platform.WeightLoadPermit
import org.lycheemount.platform.http.TableFindBody
import org.lycheemount.platform.http.TableReadBody
import org.lycheemount.platform.http.TableScanBody
import org.lycheemount.platform.http.WeightLoadBody

/** Response of `GET /counters`. */
@Serializable
internal data class PlatformCounters(
    val reads: Long,
    val writes: Long,
    val refusedByRateLimit: Long,
    val commits: Long,
)

/** Body of `POST /faults/copy` and `POST /faults/restore`. */
@Serializable
internal data class TableCopyBody(
    val name: String,
)

/** Body of `POST /vms/remove` and `POST /vms/leaving`. */
@Serializable
internal data class VmBody(
    val vmId: VmId,
)

internal fun Application.platformRoutes(
    platform: PlatformStandIn,
    zoneId: ZoneId?,
) = routing {
    route("/table") { tableRoutes(platform, zoneId) }
    route("/objects/{key}") { objectRoutes(platform, zoneId) }
    get("/vms") {
        if (respondIfRefused(platform, zoneId, write = false)) return@get
        call.respondJson(VmList.serializer(), platform.vms.list(platform.faults.vmListLagMs))
    }
    post("/weights/load") {
        if (respondIfRefused(platform, zoneId, write = true)) return@post
        call.receiveJson(WeightLoadBody.serializer()) ?: return@post
        val waitMs = platform.acquireWeightLoad()
        val permit = if (waitMs == 0L) WeightLoadPermit.Granted else WeightLoadPermit.RateLimited(waitMs)
        call.respondJson(WeightLoadPermit.serializer(), permit)
    }
    if (zoneId == null) controlRoutes(platform)
}

private fun Route.tableRoutes(
    platform: PlatformStandIn,
    zoneId: ZoneId?,
) {
    post("/read") {
        if (respondIfRefused(platform, zoneId, write = false)) return@post
        val body = call.receiveJson(TableReadBody.serializer()) ?: return@post
        call.respondJson(TableSnapshot.serializer(), platform.table.read(body.keys))
    }
    post("/scan") {
        if (respondIfRefused(platform, zoneId, write = false)) return@post
        val body = call.receiveJson(TableScanBody.serializer()) ?: return@post
        call.respondJson(TableSnapshot.serializer(), platform.table.scan(body.prefix, body.afterKey, body.limit))
    }
    post("/find") {
        if (respondIfRefused(platform, zoneId, write = false)) return@post
        val body = call.receiveJson(TableFindBody.serializer()) ?: return@post
        call.respondJson(TransactionStatus.serializer(), platform.table.find(body.transactionId))
    }
    post("/commit") {
        if (respondIfRefused(platform, zoneId, write = true)) return@post
        val transaction = call.receiveJson(TableTransaction.serializer()) ?: return@post
        val outcome = platform.table.commit(transaction)
        if (platform.takeResponseDrop()) call.dropResponse() else call.respondJson(CommitOutcome.serializer(), outcome)
    }
}

private fun Route.objectRoutes(
    platform: PlatformStandIn,
    zoneId: ZoneId?,
) {
    put {
        if (respondIfRefused(platform, zoneId, write = true)) return@put
        platform.objects[call.objectKey()] = call.receive<ByteArray>()
        if (platform.takeResponseDrop()) call.dropResponse() else call.respond(HttpStatusCode.OK)
    }
    get {
        if (respondIfRefused(platform, zoneId, write = false)) return@get
        val content = platform.objects[call.objectKey()]
        if (content == null) call.respond(HttpStatusCode.NotFound) else call.respondBytes(content, ContentType.Application.OctetStream)
    }
}

private fun Route.controlRoutes(platform: PlatformStandIn) {
    get("/faults") { call.respondJson(PlatformFaults.serializer(), platform.faults) }
    post("/faults") {
        platform.faults = call.receiveChanges(PlatformFaults.serializer(), platform.faults) ?: return@post
        call.respondJson(PlatformFaults.serializer(), platform.faults)
    }
    post("/faults/copy") {
        platform.table.copy(call.receiveJson(TableCopyBody.serializer())?.name ?: return@post)
        call.respond(HttpStatusCode.OK)
    }
    post("/faults/restore") {
        val body = call.receiveJson(TableCopyBody.serializer()) ?: return@post
        call.respond(if (platform.table.restore(body.name)) HttpStatusCode.OK else HttpStatusCode.NotFound)
    }
    put("/vms") {
        val list = call.receiveJson(VmList.serializer()) ?: return@put
        platform.vms.change { list }
        call.respond(HttpStatusCode.OK)
    }
    post("/vms/remove") {
        platform.vms.remove(call.receiveJson(VmBody.serializer())?.vmId ?: return@post)
        call.respond(HttpStatusCode.OK)
    }
    post("/vms/leaving") {
        platform.vms.markLeaving(call.receiveJson(VmBody.serializer())?.vmId ?: return@post)
        call.respond(HttpStatusCode.OK)
    }
    get("/counters") {
        val counts = platform.counts
        val counters = PlatformCounters(counts.reads.get(), counts.writes.get(), counts.rateLimited.get(), platform.table.commitCount)
        call.respondJson(PlatformCounters.serializer(), counters)
    }
}

private suspend fun io.ktor.server.routing.RoutingContext.respondIfRefused(
    platform: PlatformStandIn,
    zoneId: ZoneId?,
    write: Boolean,
): Boolean {
    val status = platform.applyCallFaults(write, zoneId) ?: return false
    call.respondText("refused", status = HttpStatusCode.fromValue(status))
    return true
}

private fun ApplicationCall.objectKey(): String = checkNotNull(parameters["key"])

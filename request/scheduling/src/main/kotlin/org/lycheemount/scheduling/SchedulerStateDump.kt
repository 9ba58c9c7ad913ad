package org.lycheemount.scheduling

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.lycheemount.common.BackendTarget

/** Describes queues and servers; sizes of caches and queues only, no request contents. */
internal fun describeScheduler(
    lanes: Collection<TargetQueue>,
    servers: Collection<ServerState>,
    startedRequests: Int,
    nowMs: Long,
): JsonObject =
    buildJsonObject {
        put("startedRequests", startedRequests)
        putJsonArray("queues") { lanes.forEach { lane -> addJsonObject { describe(lane) } } }
        putJsonArray("backendServers") { servers.forEach { server -> addJsonObject { describe(server, nowMs) } } }
    }

private fun JsonObjectBuilder.describe(lane: TargetQueue) {
    when (val target = lane.target) {
        is BackendTarget.Model -> put("modelId", target.modelId.value)
        is BackendTarget.Service -> put("serviceId", target.serviceId.value)
    }
    put("queuedRequests", lane.queue.size)
    put("fleetSharePermille", (lane.fleetShare * PERMILLE).toInt())
    put("delayTolerantWorkPermille", (lane.delayTolerantShare * PERMILLE).toInt())
    put("firstTokenStretchPermille", (lane.estimator.firstTokenStretch * PERMILLE).toInt())
    put("decodeMsPerToken", lane.estimator.decodeMsPerToken)
}

private fun JsonObjectBuilder.describe(
    state: ServerState,
    nowMs: Long,
) {
    put("backendServerId", state.id.value)
    put("zoneId", state.server.zoneId.value)
    put("leaving", state.server.leaving || state.health.isLeaving(nowMs))
    put("healthy", state.health.isHealthy())
    state.health.probeAtMs()?.let { put("probeInMs", it - nowMs) }
    put("slownessPermille", (state.health.slowness * PERMILLE).toInt())
    put("ownRequests", state.ownInFlight)
    put("windowRequests", state.limit.window)
    put("capacityRequests", state.limit.limit)
    put("estimatedLoadRequests", state.load(nowMs))
    put("meanServiceMs", state.meanServiceMs)
    put("cachedBlocks", state.prefixes.size)
    put("cachedBlocksLimit", state.prefixes.capacityBlocks)
}

private const val PERMILLE = 1_000

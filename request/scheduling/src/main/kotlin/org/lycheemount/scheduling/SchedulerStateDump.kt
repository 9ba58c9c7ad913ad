package org.lycheemount.scheduling

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.lycheemount.common.BackendTarget

/** Returns the state of queues and servers. Contains sizes of caches and queues, but no request contents. */
internal fun dumpSchedulerState(
    targetQueues: Collection<TargetQueue>,
    servers: Collection<ServerState>,
    startedRequests: Int,
    nowMs: Long,
): JsonObject =
    buildJsonObject {
        put("startedRequests", startedRequests)
        putJsonArray("queues") { targetQueues.forEach { targetQueue -> addJsonObject { putQueue(targetQueue) } } }
        putJsonArray("backendServers") { servers.forEach { server -> addJsonObject { putServer(server, nowMs) } } }
    }

private fun JsonObjectBuilder.putQueue(targetQueue: TargetQueue) {
    when (val target = targetQueue.target) {
        is BackendTarget.Model -> put("modelId", target.modelId.value)
        is BackendTarget.Service -> put("serviceId", target.serviceId.value)
    }
    put("queuedRequests", targetQueue.fairQueue.size)
    put("fleetSharePermille", (targetQueue.fleetShare * PERMILLE).toInt())
    put("delayTolerantWorkPermille", (targetQueue.delayTolerantShare * PERMILLE).toInt())
    put("firstTokenStretchPermille", (targetQueue.estimator.firstTokenSlowdown * PERMILLE).toInt())
    put("decodeMsPerToken", targetQueue.estimator.decodeMsPerToken)
}

private fun JsonObjectBuilder.putServer(
    state: ServerState,
    nowMs: Long,
) {
    put("backendServerId", state.id.value)
    put("zoneId", state.server.zoneId.value)
    put("leaving", state.isLeaving(nowMs))
    put("evacuated", state.isEvacuated)
    state.departure.statement?.let {
        put("saidToLeave", it.isLeaving)
        put("saidMsAgo", nowMs - it.asOfMs)
    }
    put("healthy", state.health.isHealthy())
    state.health.probeAtMs()?.let { put("probeInMs", it - nowMs) }
    put("slownessPermille", (state.health.slowdown * PERMILLE).toInt())
    put("workTimePermille", (state.momentarySpeed.workTimeFactor(nowMs) * PERMILLE).toInt())
    put("ownRequests", state.ownInFlight)
    put("windowRequests", state.concurrencyLimit.windowRequests)
    put("capacityRequests", state.concurrencyLimit.capacityRequests)
    put("estimatedLoadRequests", state.estimatedLoad(nowMs))
    put("meanServiceMs", state.meanServiceMs)
    state.requestLimit.current?.let {
        put("requestLimitPerS", it.requestsPerS)
        put("requestLimitAgeMs", nowMs - it.asOfMs)
        put("ownRequestLimitPerS", state.requestLimit.requestsPerS)
    }
    state.coldLimit.current?.let {
        put("coldRequestsPerS", it.requestsPerS)
        put("coldForMs", it.endsAtMs?.minus(nowMs))
        put("ownColdRequestsPerS", state.coldLimit.requestsPerS)
    }
    put("cachedBlocks", state.prefixIndex.size)
    put("cachedBlocksLimit", state.prefixIndex.capacityBlocks)
}

private const val PERMILLE = 1_000

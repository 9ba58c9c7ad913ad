package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.ZoneId
import kotlin.random.Random

// A hop between zones costs about 1 ms each way, so the zone decides only between otherwise equal servers.
private const val OTHER_ZONE_MS = 2.0
private const val MIN_AFFINITY_SHARE = 0.7

/**
 * A server together with the cost of sending one request there.
 *
 * @property unslowedCostMs the cost without the measured slowdown of the server.
 */
internal class ScoredServer(
    val state: ServerState,
    val matchedBlocks: Int,
    val costMs: Double,
    val unslowedCostMs: Double,
)

/**
 * Weights of the cost function that ranks backend servers.
 *
 * @property loadPenalty cost of a fully loaded server relative to the request's decode time.
 * @property modelLoadPenalty the same for requests to models, which the engines batch.
 * @property prefillInterference share of the running requests that a prefill delays.
 * @property preferredServerBonus cost reduction on the preferred server of a prefix, relative to the prefill of the whole prompt.
 * @property nearBestShare share of the lowest cost by which a server may exceed it and still count as equally good.
 */
internal data class SelectorWeights(
    val loadPenalty: Double = 0.4,
    val modelLoadPenalty: Double = loadPenalty,
    val prefillInterference: Double = 1.0,
    val preferredServerBonus: Double = 0.2,
    val nearBestShare: Double = 0.1,
)

/** Chooses the backend server of one request. */
internal class ServerSelector(
    private val zoneId: ZoneId,
    private val random: Random,
    private val weights: SelectorWeights,
) {
    /**
     * Returns the cheaper of two random servers whose cost is close to the lowest, or null without [candidates].
     *
     * The request is expected to go there. The random choice spreads the requests of routers that hold the same stale reports.
     */
    fun choose(
        candidates: List<ServerState>,
        preferredServer: BackendServerId?,
        item: WorkItem,
        estimator: ServiceEstimator,
        nowMs: Long,
    ): ScoredServer? {
        if (candidates.isEmpty()) return null
        val scored = candidates.map { score(it, it.id == preferredServer, item, estimator, nowMs) }
        val best = scored.minOf { it.costMs }
        val nearBestMs = best + maxOf(OTHER_ZONE_MS, weights.nearBestShare * best)
        val nearBest = scored.filter { it.costMs <= nearBestMs }
        val first = nearBest[random.nextInt(nearBest.size)]
        val second = nearBest[random.nextInt(nearBest.size)]
        for (server in scored) {
            val isMissedForSlowdown = server.costMs > nearBestMs && server.unslowedCostMs <= nearBestMs
            if (isMissedForSlowdown) {
                server.state.health.measuredSlowdown
                    .onMissed(share = 1.0 / scored.size)
            }
        }
        val chosen = if (first.costMs <= second.costMs) first else second
        chosen.state.health.measuredSlowdown
            .onChosen()
        return chosen
    }

    /** Returns the [available] servers that hold most of the cached prefix of [item], or [preferredServer] when none holds any. */
    fun affinityServers(
        available: List<ServerState>,
        preferredServer: BackendServerId?,
        item: WorkItem,
        nowMs: Long,
    ): Set<BackendServerId> {
        val cachedTokensByServer = available.associate { it.id to expectedCachedTokens(it, it.id == preferredServer, item, nowMs) }
        val mostCachedTokens = cachedTokensByServer.values.maxOrNull() ?: 0
        if (mostCachedTokens == 0) return setOfNotNull(preferredServer)
        return cachedTokensByServer.filterValues { it >= MIN_AFFINITY_SHARE * mostCachedTokens }.keys
    }

    private fun expectedCachedTokens(
        state: ServerState,
        isPreferred: Boolean,
        item: WorkItem,
        nowMs: Long,
    ): Int = maxOf(cachedTokens(item, state.prefixIndex.matchedBlocks(item.prefixHashes, nowMs)), if (isPreferred) item.sharedTokens else 0)

    private fun score(
        state: ServerState,
        isPreferred: Boolean,
        item: WorkItem,
        estimator: ServiceEstimator,
        nowMs: Long,
    ): ScoredServer {
        val matchedBlocks = state.prefixIndex.matchedBlocks(item.prefixHashes, nowMs)
        val cachedTokens = expectedCachedTokens(state, isPreferred, item, nowMs)
        val uncachedTokens = item.promptTokens - cachedTokens
        val load = state.estimatedLoad(nowMs)
        val relativeLoad = load / maxOf(1.0, state.concurrencyLimit.capacityRequests)
        val estimate = estimator.estimate(item, cachedTokens)
        val queueMs = estimator.prefillMs(state.pendingPrefillTokens)
        val interferenceMs = weights.prefillInterference * load * (estimator.prefillMs(uncachedTokens) - estimator.prefillMs(0))
        val loadWeight = if (item.target is BackendTarget.Model) weights.modelLoadPenalty else weights.loadPenalty
        val loadMs = loadWeight * relativeLoad * maxOf(estimate.serviceMs, 1.0)
        val wholePrefillMs = estimator.prefillMs(item.promptTokens) - estimator.prefillMs(0)
        val preferenceMs =
            if (isPreferred) weights.preferredServerBonus * (1 + weights.prefillInterference * load) * wholePrefillMs else 0.0
        val zoneMs = if (state.server.zoneId == zoneId) 0.0 else OTHER_ZONE_MS
        // Ignores the past slowdown of a server on probation, which would keep all probes away from it.
        val slowdown = if (state.health.isHealthy()) state.health.measuredSlowdown.costFactor else 1.0
        val timeMs = state.momentarySpeed.workTimeFactor(nowMs) * (estimate.firstTokenMs + queueMs + interferenceMs + loadMs)
        val otherCostMs = zoneMs - preferenceMs
        return ScoredServer(state, matchedBlocks, slowdown * timeMs + otherCostMs, timeMs + otherCostMs)
    }
}

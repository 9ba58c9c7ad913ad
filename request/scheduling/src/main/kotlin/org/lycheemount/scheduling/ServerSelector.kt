package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.ZoneId
import kotlin.random.Random

// One hop between zones costs about 1 ms each way, so the zone only decides between otherwise equal servers.
private const val OTHER_ZONE_MS = 2.0
private const val AFFINE_SHARE = 0.7

/** A server together with the cost of sending one request there. */
internal class ScoredServer(
    val state: ServerState,
    val matchedBlocks: Int,
    val costMs: Double,
)

/**
 * Weights of the choice of a backend server; found by `bin/measure routing`.
 *
 * @property load cost of a full server relative to the request's decode time.
 * @property modelLoad the same for requests to models, whose engines batch them.
 * @property prefillSharing share of the running requests that a prefill delays.
 * @property home preference for the home server of a prefix, relative to the prefill of the whole prompt.
 * @property bandShare servers within this share of the best cost count as equally good.
 */
internal data class SelectorWeights(
    val load: Double = 0.4,
    val modelLoad: Double = load,
    val prefillSharing: Double = 1.0,
    val home: Double = 0.2,
    val bandShare: Double = 0.1,
)

/** Chooses the backend server of one request. */
internal class ServerSelector(
    private val zoneId: ZoneId,
    private val random: Random,
    private val weights: SelectorWeights,
) {
    /**
     * Returns the better of two random ones among the servers whose cost is close to the best, so that routers with the
     * same stale reports spread their choices.
     */
    fun choose(
        candidates: List<ServerState>,
        home: BackendServerId?,
        item: WorkItem,
        estimator: ServiceEstimator,
        nowMs: Long,
    ): ScoredServer? {
        if (candidates.isEmpty()) return null
        val scored = candidates.map { score(it, it.id == home, item, estimator, nowMs) }
        val best = scored.minOf { it.costMs }
        val band = scored.filter { it.costMs <= best + maxOf(OTHER_ZONE_MS, weights.bandShare * best) }
        val first = band[random.nextInt(band.size)]
        val second = band[random.nextInt(band.size)]
        return if (first.costMs <= second.costMs) first else second
    }

    /** Servers among [open] that hold most of the cached prefix of [item], or its [home] when none holds any. */
    fun affine(
        open: List<ServerState>,
        home: BackendServerId?,
        item: WorkItem,
        nowMs: Long,
    ): Set<BackendServerId> {
        val matched = open.associate { it.id to expectedCachedTokens(it, it.id == home, item, nowMs) }
        val most = matched.values.maxOrNull() ?: 0
        if (most == 0) return setOfNotNull(home)
        return matched.filterValues { it >= AFFINE_SHARE * most }.keys
    }

    private fun expectedCachedTokens(
        state: ServerState,
        isHome: Boolean,
        item: WorkItem,
        nowMs: Long,
    ): Int = maxOf(cachedTokens(item, state.prefixes.matchedBlocks(item.prefixHashes, nowMs)), if (isHome) item.sharedTokens else 0)

    private fun score(
        state: ServerState,
        isHome: Boolean,
        item: WorkItem,
        estimator: ServiceEstimator,
        nowMs: Long,
    ): ScoredServer {
        val matched = state.prefixes.matchedBlocks(item.prefixHashes, nowMs)
        val cached = expectedCachedTokens(state, isHome, item, nowMs)
        val uncached = item.promptTokens - cached
        val load = state.load(nowMs)
        val relativeLoad = load / maxOf(1.0, state.limit.limit)
        val estimate = estimator.estimate(item, cached)
        val queueMs = estimator.prefillMs(state.pendingPrefillTokens)
        val sharedMs = weights.prefillSharing * load * (estimator.prefillMs(uncached) - estimator.prefillMs(0))
        val loadWeight = if (item.target is BackendTarget.Model) weights.modelLoad else weights.load
        val loadMs = loadWeight * relativeLoad * maxOf(estimate.serviceMs, 1.0)
        val wholePrefillMs = estimator.prefillMs(item.promptTokens) - estimator.prefillMs(0)
        val homeMs = if (isHome) weights.home * (1 + weights.prefillSharing * load) * wholePrefillMs else 0.0
        val zoneMs = if (state.server.zoneId == zoneId) 0.0 else OTHER_ZONE_MS
        // A server on probation is judged anew: its old slowness would keep all probes away from it.
        val slowness = if (state.health.isHealthy()) maxOf(1.0, state.health.slowness) else 1.0
        val costMs = slowness * (estimate.firstTokenMs + queueMs + sharedMs + loadMs) - homeMs + zoneMs
        return ScoredServer(state, matched, costMs)
    }
}

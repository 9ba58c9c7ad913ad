package org.lycheemount.measure.claims

import org.lycheemount.claims.ClaimOutcome
import org.lycheemount.claims.RecordedOutcome
import org.lycheemount.common.IdempotencyKey
import org.lycheemount.common.RequestId
import org.lycheemount.common.TeamId

/** Answer to a claim, as the measurement counts it. */
internal enum class ClaimAnswer { GRANTED, KNOWN, UNKNOWN, REFUSED }

/** One way of keeping claims. */
internal interface ClaimKeeper {
    suspend fun claim(
        router: ClaimsFleet.Router,
        key: String,
        request: String,
    ): ClaimAnswer

    suspend fun finish(
        router: ClaimsFleet.Router,
        key: String,
        request: String,
    )
}

/** The product's code. */
internal class PairKeeperOfProduct : ClaimKeeper {
    private val teamId = TeamId("team")

    override suspend fun claim(
        router: ClaimsFleet.Router,
        key: String,
        request: String,
    ): ClaimAnswer =
        when (val outcome = router.claims.registry.claim(teamId, IdempotencyKey(key), RequestId(request), "f")) {
            ClaimOutcome.Granted -> ClaimAnswer.GRANTED
            is ClaimOutcome.AlreadyRunning -> ClaimAnswer.KNOWN
            is ClaimOutcome.Finished -> if (outcome.outcome is RecordedOutcome.Ran) ClaimAnswer.KNOWN else ClaimAnswer.UNKNOWN
            is ClaimOutcome.Refused -> ClaimAnswer.REFUSED
        }

    override suspend fun finish(
        router: ClaimsFleet.Router,
        key: String,
        request: String,
    ) = router.claims.registry.finish(teamId, IdempotencyKey(key), RequestId(request), RecordedOutcome.Ran(200, null, ByteArray(0)))
}

/** Decides by reachability alone; messages between reachable parties take no time and are never lost. */
internal class TableKeeper(
    private val fleet: ClaimsFleet,
) : ClaimKeeper {
    private val keys = HashSet<String>()

    override suspend fun claim(
        router: ClaimsFleet.Router,
        key: String,
        request: String,
    ): ClaimAnswer =
        when {
            !fleet.reachesTable(router) -> ClaimAnswer.REFUSED
            keys.add(key) -> ClaimAnswer.GRANTED
            else -> ClaimAnswer.KNOWN
        }

    override suspend fun finish(
        router: ClaimsFleet.Router,
        key: String,
        request: String,
    ) = Unit
}

/**
 * One router decides on a key alone, from its memory.
 *
 * @param leased whether the owner needs a lease that it renews at the table; a lost owner is then replaced when the lease
 *   is over, and otherwise when it is gone from the VM list. The next owner knows nothing of earlier keys; it grants them,
 *   because refusing every key for a lifetime would be the only safe alternative.
 */
internal class OwnerKeeper(
    private val fleet: ClaimsFleet,
    private val leased: Boolean,
) : ClaimKeeper {
    private val memory = fleet.routers.associateWith { HashSet<String>() }
    private val owners = HashMap<Int, ClaimsFleet.Router>()
    private val renewedAtMs = HashMap<ClaimsFleet.Router, Long>()
    private val diedAtMs = HashMap<ClaimsFleet.Router, Long>()

    /** To be called at least once a second. */
    fun tick(nowMs: Long) {
        for (router in fleet.routers) {
            if (fleet.reachesTable(router)) renewedAtMs[router] = nowMs
            if (!router.alive) diedAtMs.putIfAbsent(router, nowMs)
        }
    }

    override suspend fun claim(
        router: ClaimsFleet.Router,
        key: String,
        request: String,
    ): ClaimAnswer {
        val nowMs = fleet.clock.monotonicMs()
        val owner = ownerOf(router, Math.floorMod(key.hashCode(), PARTITIONS), nowMs)
        if (owner == null || !fleet.reaches(router, owner)) return ClaimAnswer.REFUSED
        if (leased && nowMs > leaseEndMs(owner)) return ClaimAnswer.REFUSED
        return if (memory.getValue(owner).add(key)) ClaimAnswer.GRANTED else ClaimAnswer.KNOWN
    }

    override suspend fun finish(
        router: ClaimsFleet.Router,
        key: String,
        request: String,
    ) = Unit

    private fun ownerOf(
        asking: ClaimsFleet.Router,
        partition: Int,
        nowMs: Long,
    ): ClaimsFleet.Router? {
        val ranked = fleet.routers.sortedBy { "$partition/${it.number}".hashCode() * HASH_MULTIPLIER }
        if (!leased) return ranked.firstOrNull { (diedAtMs[it] ?: Long.MAX_VALUE) > nowMs - LIST_LAG_MS }
        val owner = owners.getOrPut(partition) { ranked.first() }
        if (nowMs <= leaseEndMs(owner) || !fleet.reachesTable(asking)) return owner
        return ranked.firstOrNull { fleet.reachesTable(it) }?.also { owners[partition] = it }
    }

    private fun leaseEndMs(router: ClaimsFleet.Router): Long = (renewedAtMs[router] ?: 0) + LEASE_MS

    companion object {
        const val LIST_LAG_MS = 30_000L
        private const val LEASE_MS = 15_000L
        private const val PARTITIONS = 64
        private const val HASH_MULTIPLIER = -1_640_531_527
    }
}

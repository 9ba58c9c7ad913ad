package org.lycheemount.measure.claims

import org.lycheemount.claims.ClaimOutcome
import org.lycheemount.claims.RecordedOutcome
import org.lycheemount.common.IdempotencyKey
import org.lycheemount.common.RequestId
import org.lycheemount.common.TeamId

/** Result of a claim as the measurement counts it. */
internal enum class ClaimResult { GRANTED, DUPLICATE, OUTCOME_UNKNOWN, REFUSED }

/** A way to decide which attempt with an idempotency key may run. */
internal interface ClaimStrategy {
    suspend fun claim(
        router: ClaimsFleet.Router,
        key: String,
        request: String,
    ): ClaimResult

    suspend fun finish(
        router: ClaimsFleet.Router,
        key: String,
        request: String,
    )
}

/** Uses the claim registry of the router, which is what the product runs. */
internal class ProductClaimStrategy : ClaimStrategy {
    private val teamId = TeamId("team")

    override suspend fun claim(
        router: ClaimsFleet.Router,
        key: String,
        request: String,
    ): ClaimResult =
        when (val outcome = router.claims.registry.claim(teamId, IdempotencyKey(key), RequestId(request), "f")) {
            ClaimOutcome.Granted -> ClaimResult.GRANTED
            is ClaimOutcome.AlreadyRunning -> ClaimResult.DUPLICATE
            is ClaimOutcome.Finished -> if (outcome.outcome is RecordedOutcome.Ran) ClaimResult.DUPLICATE else ClaimResult.OUTCOME_UNKNOWN
            is ClaimOutcome.Refused -> ClaimResult.REFUSED
        }

    override suspend fun finish(
        router: ClaimsFleet.Router,
        key: String,
        request: String,
    ) = router.claims.registry.finish(teamId, IdempotencyKey(key), RequestId(request), RecordedOutcome.Ran(200, null, ByteArray(0)))
}

/**
 * Decides each claim by a transaction on the platform's table.
 * Modeled by reachability only: calls to a reachable table take no time and are never lost.
 */
internal class TableClaimStrategy(
    private val fleet: ClaimsFleet,
) : ClaimStrategy {
    private val keys = HashSet<String>()

    override suspend fun claim(
        router: ClaimsFleet.Router,
        key: String,
        request: String,
    ): ClaimResult =
        when {
            !fleet.canReachTable(router) -> ClaimResult.REFUSED
            keys.add(key) -> ClaimResult.GRANTED
            else -> ClaimResult.DUPLICATE
        }

    override suspend fun finish(
        router: ClaimsFleet.Router,
        key: String,
        request: String,
    ) = Unit
}

/**
 * One router, the owner of the key's partition, decides from memory alone.
 * A new owner does not know earlier keys. It grants them, because the only safe alternative is to refuse every key for the
 * lifetime of a claim.
 *
 * @param usesLease whether the owner needs a lease that it renews at the table. With a lease, a crashed or unreachable owner is
 *   replaced once the lease has expired; without one, a crashed owner is replaced once it is missing from the VM list.
 */
internal class SingleOwnerClaimStrategy(
    private val fleet: ClaimsFleet,
    private val usesLease: Boolean,
) : ClaimStrategy {
    private val knownKeys = fleet.routers.associateWith { HashSet<String>() }
    private val owners = HashMap<Int, ClaimsFleet.Router>()
    private val leaseRenewedAtMs = HashMap<ClaimsFleet.Router, Long>()
    private val crashedAtMs = HashMap<ClaimsFleet.Router, Long>()

    /** Renews leases and records crashed routers; must be called at least once a second. */
    fun refresh(nowMs: Long) {
        for (router in fleet.routers) {
            if (fleet.canReachTable(router)) leaseRenewedAtMs[router] = nowMs
            if (!router.isAlive) crashedAtMs.putIfAbsent(router, nowMs)
        }
    }

    override suspend fun claim(
        router: ClaimsFleet.Router,
        key: String,
        request: String,
    ): ClaimResult {
        val nowMs = fleet.clock.monotonicMs()
        val owner = ownerOf(router, Math.floorMod(key.hashCode(), PARTITIONS), nowMs)
        if (owner == null || !fleet.canReach(router, owner)) return ClaimResult.REFUSED
        if (usesLease && nowMs > leaseEndMs(owner)) return ClaimResult.REFUSED
        return if (knownKeys.getValue(owner).add(key)) ClaimResult.GRANTED else ClaimResult.DUPLICATE
    }

    override suspend fun finish(
        router: ClaimsFleet.Router,
        key: String,
        request: String,
    ) = Unit

    private fun ownerOf(
        requester: ClaimsFleet.Router,
        partition: Int,
        nowMs: Long,
    ): ClaimsFleet.Router? {
        val ranked = fleet.routers.sortedBy { "$partition/${it.number}".hashCode() * HASH_MULTIPLIER }
        if (!usesLease) return ranked.firstOrNull { (crashedAtMs[it] ?: Long.MAX_VALUE) > nowMs - VM_LIST_DELAY_MS }
        val owner = owners.getOrPut(partition) { ranked.first() }
        if (nowMs <= leaseEndMs(owner) || !fleet.canReachTable(requester)) return owner
        return ranked.firstOrNull { fleet.canReachTable(it) }?.also { owners[partition] = it }
    }

    private fun leaseEndMs(router: ClaimsFleet.Router): Long = (leaseRenewedAtMs[router] ?: 0) + LEASE_MS

    companion object {
        /** Delay until a crashed router is missing from the VM list, in milliseconds. */
        const val VM_LIST_DELAY_MS = 30_000L
        private const val LEASE_MS = 15_000L
        private const val PARTITIONS = 64
        private const val HASH_MULTIPLIER = -1_640_531_527
    }
}

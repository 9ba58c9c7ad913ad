package org.lycheemount.budget

import org.lycheemount.common.BudgetId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction
import org.lycheemount.platform.VmDirectory
import org.lycheemount.platform.VmList

/** Reclaims tokens that routers whose VM is gone cannot have spent. */
internal class GrantReclaimer(
    private val accounts: BudgetAccounts,
    private val vmDirectory: VmDirectory,
    private val writer: TableWriter,
    private val session: TableSession,
    private val clock: Clock,
    private val options: BudgetOptions,
    private val log: EventLog,
) {
    private val evidence = VmEvidence()
    private var scanDueAtMs: Long? = null
    private var initialScanPlanned = false
    private var predecessorsReclaimed = false
    private var hasStrandedPredecessor = false

    /** Whether this router knows the final rows of all grants of earlier processes on this VM, and has closed them. */
    val hasClosedPredecessors: Boolean get() = predecessorsReclaimed && !hasStrandedPredecessor

    fun isGone(vmId: VmId): Boolean = evidence.goneSinceTableTimeMs(vmId) != null

    /** Reads the VM list and schedules a scan of the grants when the VM of a router is gone. */
    suspend fun readVmList() {
        val vmList = readVms() ?: return
        val gone = evidence.update(vmList)
        writer.ownVmListed = writer.ownVmListed || vmList.routers.any { it.vmId == writer.self.vmId }
        if (gone.isEmpty() && initialScanPlanned) return
        // Only a few routers scan, at staggered times, so that a failure among 600 routers does not make all of them read every grant.
        val order = vmList.routers.map { it.vmId }.sortedBy { saltedHash(it.value, gone.joinToString { vm -> vm.value }) }
        val rank = order.indexOf(writer.self.vmId)
        initialScanPlanned = true
        if (rank in
            0 until SCANNING_ROUTER_COUNT
        ) {
            scanDueAtMs = minOf(scanDueAtMs ?: Long.MAX_VALUE, clock.monotonicMs() + rank * SCAN_STAGGER_MS)
        }
    }

    /**
     * Reclaims the grants of earlier processes on this VM once after the start; those processes ended before this one started.
     * Returns false when the table did not respond.
     */
    suspend fun reclaimPredecessors(): Boolean {
        if (predecessorsReclaimed) return true
        val rows = session.scanAll(GRANT_PREFIX) ?: return false
        val openGrants = rows.map { it to decodeRow<GrantRow>(it.value) }.filter { (_, grant) -> !grant.closed }
        val predecessorGrants = openGrants.filter { (_, grant) -> isPredecessor(grant.holder) }
        val (reclaimable, unreclaimable) = predecessorGrants.partition { (_, grant) -> isReclaimable(grant) }
        for ((_, grant) in unreclaimable) logUnreclaimable(grant)
        hasStrandedPredecessor = hasStrandedPredecessor || unreclaimable.isNotEmpty()
        if (!reclaimAll(reclaimable)) return false
        // The next pass retries grants whose reclaim failed with conflicts.
        predecessorsReclaimed = reclaimable.isEmpty()
        return true
    }

    private fun isPredecessor(holder: RouterIdentity) = holder.vmId == writer.self.vmId && holder.incarnation < writer.self.incarnation

    private fun goneSinceTableTimeMs(holder: RouterIdentity): Long? =
        if (isPredecessor(holder)) session.startedBeforeTableTimeMs else evidence.goneSinceTableTimeMs(holder.vmId)

    /** Time between the contact recorded in [grant] and the end of its holder; null while the holder may exist. */
    private fun goneAfterMs(grant: GrantRow): Long? = goneSinceTableTimeMs(grant.holder)?.minus(grant.lastAckedTableTimeMs)

    /** Reclaims if a scan is due. Returns false when the table did not respond; the scan then stays due. */
    suspend fun reclaimIfDue(): Boolean {
        val dueAtMs = scanDueAtMs ?: return true
        if (clock.monotonicMs() < dueAtMs) return true
        val rows = session.scanAll(GRANT_PREFIX) ?: return false
        val open = rows.map { it to decodeRow<GrantRow>(it.value) }.filter { (_, grant) -> !grant.closed }
        val vmList = readVms() ?: return false
        for ((_, grant) in open) if (grant.holderListed) evidence.recordAbsence(grant.holder.vmId, vmList)
        if (!reclaimAll(open.filter { (_, grant) -> isReclaimable(grant) })) return false
        scanDueAtMs = null
        return true
    }

    /**
     * Upper bound on the tokens that the holder has used, or null when only the whole grant bounds them: the ceiling of its row at the
     * time when it was gone. Both times are table times; the drift margin covers a holder whose clock runs faster than that of the table.
     * The ceiling of a row of an earlier era bounds nothing, as later rows may be lost.
     */
    private fun maxUsedTokens(grant: GrantRow): Long? {
        if (!session.isCurrent(grant.era)) return null
        val goneAfterMs = goneAfterMs(grant) ?: return null
        val driftMs = options.driftMarginMs * maxOf(1.0, goneAfterMs.toDouble() / options.outageGraceMs)
        return grant.ceilingAfterTokens(goneAfterMs + driftMs.toLong(), options.outageGraceMs)
    }

    private fun isReclaimable(grant: GrantRow): Boolean = maxUsedTokens(grant) != null

    /** Reclaims grants in batches of different budgets, because a transaction can write each budget row only once. */
    private suspend fun reclaimAll(grants: List<Pair<TableRow, GrantRow>>): Boolean {
        val byBudget = grants.groupBy { (_, grant) -> grant.budgetId }.values
        for (index in 0 until (byBudget.maxOfOrNull { it.size } ?: 0)) {
            val onePerBudget = byBudget.mapNotNull { it.getOrNull(index) }
            for (batch in onePerBudget.chunked(options.rowsPerTransaction)) if (!reclaimBatch(batch)) return false
        }
        return true
    }

    private suspend fun reclaimBatch(grants: List<Pair<TableRow, GrantRow>>): Boolean {
        repeat(MAX_COMMIT_ATTEMPTS) {
            val snapshot =
                session.read(grants.flatMap { (row, grant) -> listOf(budgetKey(grant.budgetId), row.key) }) ?: return false
            val transactionId = session.nextTransactionId()
            val attempts = grants.mapNotNull { (row, grant) -> planReclaim(snapshot, row.key, grant.budgetId, transactionId) }
            if (attempts.isEmpty()) return true
            when (writer.run(combineAttempts(transactionId, attempts))) {
                WriteAttemptResult.COMMITTED -> return true
                WriteAttemptResult.NO_RESPONSE -> return false
                WriteAttemptResult.CONFLICT -> Unit
            }
        }
        return true
    }

    private fun planReclaim(
        snapshot: TableSnapshot,
        grantKey: String,
        budgetId: BudgetId,
        transactionId: String,
    ): WriteAttempt? {
        val current = snapshot.find(grantKey) ?: return null
        val budget = snapshot.find(budgetKey(budgetId)) ?: return null
        val grant = decodeRow<GrantRow>(current.value)
        val usedBoundTokens = maxUsedTokens(grant)
        if (!session.isCurrent(decodeRow<BudgetRow>(budget.value).era)) return null
        return if (grant.closed || usedBoundTokens == null) null else reclaimAttempt(budget, current, grant, usedBoundTokens, transactionId)
    }

    private fun reclaimAttempt(
        budgetRow: TableRow,
        grantRow: TableRow,
        grant: GrantRow,
        maxUsedTokens: Long,
        transactionId: String,
    ): WriteAttempt {
        val budget = decodeRow<BudgetRow>(budgetRow.value)
        val reclaimed = (grant.grantedTokens + grant.receivedTokens - maxUsedTokens).coerceAtLeast(0)
        val (changed, closed) = closeGrant(budget.copy(era = session.eraNumber), grant.copy(era = session.eraNumber), reclaimed)
        return WriteAttempt(
            TableTransaction(
                transactionId,
                listOf(RowCheck(budgetRow.key, budgetRow.version), RowCheck(grantRow.key, grantRow.version)),
                listOf(writeRow(budgetRow.key, changed), writeRow(grantRow.key, closed)),
            ),
            grants = emptyList(),
            onCommitted = {
                val account = accounts.getOrCreate(grant.budgetId)
                synchronized(account) { account.recordClosing(closed, transactionId, clock.monotonicMs()) }
                log.info(
                    "grant_reclaimed",
                    "budget" to grant.budgetId.value,
                    "grant" to grant.grantId,
                    "reclaimedTokens" to reclaimed,
                    "settledTokens" to grant.settledTokens,
                    "chargedTokens" to closed.chargedTokens,
                    "unbilledTokens" to closed.unbilledTokens,
                    "usedTokens" to grant.usedTokens,
                    "ceilingTokens" to grant.ceilingTokens,
                    "goneAfterMs" to goneAfterMs(grant),
                )
            },
        )
    }

    private fun logUnreclaimable(grant: GrantRow) =
        log.warn(
            "grant_stranded",
            "budget" to grant.budgetId.value,
            "grant" to grant.grantId,
            "tokens" to grant.grantedTokens,
            "settledTokens" to grant.settledTokens,
            "ceilingTokens" to grant.ceilingTokens,
            "ceilingTokensPerS" to (grant.ceilingTokensPerMs * MS_PER_SECOND).toLong(),
            "goneAfterMs" to goneAfterMs(grant),
        )

    private suspend fun readVms(): VmList? = (vmDirectory.list() as? TableResult.Response)?.value

    private companion object {
        private const val SCANNING_ROUTER_COUNT = 3
        private const val SCAN_STAGGER_MS = 5_000L
        private const val MAX_COMMIT_ATTEMPTS = 4
        private const val MS_PER_SECOND = 1_000
    }
}

/** Hash of [value] that is the same on all routers; it sorts values in a different order for each [salt]. */
internal fun saltedHash(
    value: String,
    salt: String,
): Int {
    val hash = (value + salt).hashCode() * HASH_MULTIPLIER
    return hash xor (hash ushr HASH_SHIFT)
}

private const val HASH_MULTIPLIER = -1_640_531_527
private const val HASH_SHIFT = 16

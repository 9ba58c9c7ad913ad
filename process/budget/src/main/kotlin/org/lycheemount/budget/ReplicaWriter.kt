package org.lycheemount.budget

import kotlinx.serialization.encodeToByteArray
import org.lycheemount.common.BudgetId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction

/** Stores replicas of peers' bills and writes them to the table when their owner no longer can. */
internal class ReplicaWriter(
    private val peers: PeerMessenger,
    private val writer: TableWriter,
    private val session: TableSession,
    private val reclaimer: GrantReclaimer,
    private val clock: Clock,
    private val options: BudgetOptions,
    private val log: EventLog,
) {
    private val replicas = LinkedHashMap<RouterIdentity, LinkedHashMap<RequestId, BillReplica>>()

    fun register() =
        peers.register(BILLS_CHANNEL) { from, payload ->
            decodePeerMessage<BillReplicaUpdate>(payload)?.let { storeReplicas(from, it) }
        }

    fun replicaCount(): Int = synchronized(replicas) { replicas.values.sumOf { it.size } }

    /** Writes a batch of bills whose owner ended, or that are older than the write delay. Returns false when the table did not respond. */
    suspend fun writeDueBills(): Boolean {
        val batch = dueBatch()
        if (batch.isEmpty()) return true
        val budgets = batch.map { it.row.bill.budgetId }.distinct()
        val grants = batch.map { grantKey(it.row.bill.budgetId, it.row.grantId) }.distinct()
        val snapshot = session.read(batch.map { it.key } + grants + budgets.map(::budgetKey)) ?: return false
        val missing = batch.filter { snapshot.find(it.key) == null }
        val writable = missing.filter { it.ownerEnded || snapshot.find(it.grantKey) != null }
        removeReplicas(batch - missing.toSet())
        if (writable.isEmpty()) return true
        return writer.run(planWrite(writable, snapshot)) != WriteAttemptResult.NO_RESPONSE
    }

    private fun storeReplicas(
        from: RouterIdentity,
        message: BillReplicaUpdate,
    ): ByteArray {
        val nowMs = clock.monotonicMs()
        synchronized(replicas) {
            val byRequestId = replicas.getOrPut(from) { LinkedHashMap() }
            for (row in message.bills) byRequestId.putIfAbsent(row.bill.requestId, BillReplica(from, row, nowMs))
            for (requestId in message.writtenIds) byRequestId.remove(requestId)
        }
        return peerCbor.encodeToByteArray(BillReplicaUpdateReply(peers.self.incarnation))
    }

    private fun dueBatch(): List<BillReplica> {
        val nowMs = clock.monotonicMs()
        val connected = peers.connectedPeers().associateBy { it.routerId }
        synchronized(replicas) {
            replicas.values.removeIf { it.isEmpty() }
            for ((owner, byRequestId) in replicas) {
                val ownerEnded = reclaimer.isGone(owner.vmId) || (connected[owner.routerId]?.incarnation ?: 0) > owner.incarnation
                val due = byRequestId.values.asSequence().filter { ownerEnded || nowMs - it.receivedAtMs >= options.replicaWriteDelayMs }
                val batch = due.take(options.billsPerTransaction).toList()
                batch.forEach { it.ownerEnded = ownerEnded }
                if (batch.isNotEmpty()) return batch
            }
        }
        return emptyList()
    }

    private fun planWrite(
        missing: List<BillReplica>,
        snapshot: TableSnapshot,
    ): WriteAttempt {
        val plan = ReplicaWritePlan(snapshot)
        missing.groupBy { it.grantKey }.forEach { (key, grantReplicas) -> plan.charge(key, grantReplicas) }
        val checks = missing.map { RowCheck(it.key, 0) } + plan.checks
        val writes = missing.map { writeRow(it.key, it.row) } + plan.writes()
        return WriteAttempt(
            TableTransaction(session.nextTransactionId(), checks, writes),
            grants = emptyList(),
            onCommitted = {
                log.info(
                    "peer_bills_written",
                    "owner" to
                        missing
                            .first()
                            .owner.routerId.value,
                    "bills" to missing.size,
                )
                removeReplicas(missing)
            },
        )
    }

    private fun removeReplicas(done: List<BillReplica>) =
        synchronized(replicas) {
            for (replica in done) replicas[replica.owner]?.remove(replica.row.bill.requestId)
        }

    internal class BillReplica(
        val owner: RouterIdentity,
        val row: BillRow,
        val receivedAtMs: Long,
    ) {
        var ownerEnded = false
        val key = billKey(row.bill.budgetId, row.bill.requestId)
        val grantKey = grantKey(row.bill.budgetId, row.grantId)
        val tokens = row.bill.charge.totalTokens
    }
}

/** Collects the row changes that count late bills exactly once. */
internal class ReplicaWritePlan(
    private val snapshot: TableSnapshot,
) {
    val checks = mutableListOf<RowCheck>()
    private val grants = LinkedHashMap<String, GrantRow>()
    private val budgets = LinkedHashMap<String, BudgetRow>()

    /**
     * Adds bills to the row of their grant. The charge of a closed grant already covers them. If there is no row, the owner spent
     * tokens received from a peer, and they move from the transferred to the closed tokens of the budget.
     */
    fun charge(
        grantKey: String,
        bills: List<ReplicaWriter.BillReplica>,
    ) {
        val tokens = bills.sumOf { it.tokens }
        val row = snapshot.find(grantKey)
        checks += RowCheck(grantKey, row?.version ?: 0)
        val budgetId =
            bills
                .first()
                .row.bill.budgetId
        if (row == null) {
            changeBudget(budgetId) { it.copy(closedTokens = it.closedTokens + tokens, transferTokens = it.transferTokens - tokens) }
            return
        }
        val grant = decodeRow<GrantRow>(row.value)
        grants[grantKey] = grant.copy(settledTokens = grant.settledTokens + tokens)
        if (grant.closed) changeBudget(budgetId) { it.copy(unbilledTokens = it.unbilledTokens - tokens) }
    }

    private fun changeBudget(
        budgetId: BudgetId,
        change: (BudgetRow) -> BudgetRow,
    ) {
        val key = budgetKey(budgetId)
        val row = snapshot.find(key) ?: return
        if (key !in budgets) checks += RowCheck(key, row.version)
        budgets[key] = change(budgets[key] ?: decodeRow(row.value))
    }

    fun writes() = grants.map { writeRow(it.key, it.value) } + budgets.map { writeRow(it.key, it.value) }
}

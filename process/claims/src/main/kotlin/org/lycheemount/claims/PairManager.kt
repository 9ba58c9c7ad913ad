package org.lycheemount.claims

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.lycheemount.common.RouterIdentity

/** Changes the pair of one partition. The caller holds the lock of the partition. */
internal class PairManager(
    private val context: ClaimContext,
    private val state: PartitionState,
) {
    private val partition = state.partition

    /**
     * Becomes primary with a new secondary, because the other member of the pair does not respond.
     * Returns true when both members of the new pair hold all claims.
     */
    suspend fun replaceOtherMember(): Boolean {
        val oldPair = state.view ?: return false
        if (!state.synced) return false
        val otherMember = if (oldPair.primary == context.self) oldPair.secondary else oldPair.primary
        val secondary = context.chooseSecondary(partition, context.self, setOf(otherMember)) ?: return false
        return writeNewPair(oldPair, oldPair.unknownUntilMs, secondary) && syncSecondary()
    }

    /**
     * Becomes primary of a partition whose members are all lost. Their unwritten records are unknown, so keys without a record are
     * refused for one outcome lifetime.
     */
    suspend fun takeOverLostPartition(): Boolean {
        val oldPair = state.view ?: return false
        if (state.synced) return false
        if (!needsRecovery(oldPair)) {
            if (!isLost(oldPair)) return false
            val excluded = if (oldPair.closed) emptySet() else setOf(oldPair.primary, oldPair.secondary)
            val secondary = context.chooseSecondary(partition, context.self, excluded) ?: return false
            val unknownUntilMs =
                if (oldPair.closed) oldPair.unknownUntilMs else context.clock.wallClockMs() + context.options.outcomeLifetimeMs
            if (!writeNewPair(oldPair, unknownUntilMs, secondary, recoversFromTable = true)) return false
        }
        // Read after the pair has changed, so that no member of the old pair can write further outcomes.
        val recovered = context.outcomes.readAll(partition) ?: return false
        state.loadRecords(recovered)
        context.log.warn("claims_taken_over", "partition" to partition, "epoch" to state.view?.epoch, "recovered" to recovered.size)
        return syncSecondary()
    }

    /**
     * Closes the pair at a graceful shutdown of the primary, unless a request is running or not every outcome can be written.
     * The next pair then starts with the outcomes in the table and does not have to refuse unknown keys.
     */
    suspend fun close() {
        val view = state.view ?: return
        if (!state.canDecide || state.allRecords().any { it.outcome == null }) return
        // An earlier primary may have recorded outcomes without writing them to the table.
        state.allRecords().forEach { context.outcomes.add(partition, it) }
        while (context.outcomes.flush()) Unit
        val found = context.partitionRows.read(partition)
        if (context.outcomes.pendingWriteCount > 0 || found?.row != view) return
        state.stopDeciding()
        context.partitionRows.write(view.copy(epoch = view.epoch + 1, recoversFromTable = false, closed = true), found.version)
    }

    /** Writes the pair again, in a new epoch, when a restored table holds an older row. */
    suspend fun repairRow(): Boolean {
        val oldPair = state.view ?: return false
        if (!state.canDecide) return false
        val found = context.partitionRows.read(partition) ?: return false
        if (found.row == oldPair) return true
        context.log.warn("claim_pair_lost_in_table", "partition" to partition, "epoch" to oldPair.epoch, "found" to found.row?.epoch)
        return writeNewPair(oldPair, oldPair.unknownUntilMs, oldPair.secondary) && syncSecondary()
    }

    /** Sends all claims to the secondary unless it is already in sync. */
    suspend fun syncSecondary(): Boolean {
        val view = state.view ?: return false
        if (!state.canDecide) return false
        if (state.secondarySynced) return true
        val pages = state.allRecords().chunked(RECORDS_PER_PAGE).ifEmpty { listOf(emptyList()) }
        val transferId = "${view.epoch}-${context.clock.monotonicMs()}"
        for ((index, records) in pages.withIndex()) {
            val message = ClaimMessage.Sync(partition, view, transferId, index, pages.size, records)
            val reply = context.call(view.secondary.routerId, message)
            if (reply is ClaimReply.Unable) reply.view?.let(state::adopt)
            if (reply !is ClaimReply.Done) return false
        }
        if (state.view != view) return false
        state.secondarySynced = true
        return true
    }

    /** Reads the row of the partition, or creates the first one. Returns false when the row stays unknown. */
    suspend fun findOrCreate(): Boolean {
        if (state.view != null) return true
        val found = context.partitionRows.read(partition) ?: return adoptFromPeers()
        found.row?.let(state::adopt)
        if (state.view != null || adoptFromPeers()) return true
        val primary = context.choosePrimary(partition)
        val secondary = context.chooseSecondary(partition, primary)
        val row = PartitionRow(partition, FIRST_EPOCH, primary, secondary ?: return false)
        val outcome = context.partitionRows.write(row, found.version)
        if (outcome is RowWriteOutcome.Current) state.adopt(outcome.row)
        return state.view != null
    }

    private suspend fun writeNewPair(
        oldPair: PartitionRow,
        unknownUntilMs: Long,
        secondary: RouterIdentity,
        recoversFromTable: Boolean = false,
    ): Boolean {
        // A restored table may hold an older epoch than other routers know.
        adoptFromPeers()
        if (state.view != oldPair) return becamePrimary(oldPair)
        val found = context.partitionRows.read(partition) ?: return false
        if (found.row != null && state.adopt(found.row)) return becamePrimary(oldPair)
        val row = PartitionRow(partition, oldPair.epoch + 1, context.self, secondary, unknownUntilMs, recoversFromTable)
        // After an unknown outcome, the next attempt reads the row again; until then the old epoch stays active.
        val outcome = context.partitionRows.write(row, found.version)
        if (outcome is RowWriteOutcome.Current) state.adopt(outcome.row)
        return becamePrimary(oldPair)
    }

    /**
     * Logs a change of the pair. Returns true if this router is primary in a newer epoch, which an earlier attempt with a lost
     * response may have written.
     */
    private fun becamePrimary(oldPair: PartitionRow): Boolean {
        val view = state.view ?: return false
        if (view.epoch <= oldPair.epoch) return false
        context.log.info("claim_pair_changed", "partition" to partition, "epoch" to view.epoch, "primary" to view.primary.routerId.value)
        return view.primary == context.self
    }

    private suspend fun adoptFromPeers(): Boolean {
        val request = ClaimMessage.GetView(partition, state.view)
        val replies =
            coroutineScope {
                context.peers
                    .connectedPeers()
                    .map { peer -> async { context.call(peer.routerId, request) } }
                    .awaitAll()
            }
        replies.filterIsInstance<ClaimReply.Unable>().mapNotNull { it.view }.forEach(state::adopt)
        return state.view != null
    }

    /** Whether this router has written the row of a takeover but has not yet read the outcomes. */
    private fun needsRecovery(row: PartitionRow) = row.primary == context.self && row.recoversFromTable

    /** Whether no router that holds the claims can still decide. A member counts as lost only on evidence, never because of silence. */
    private fun isLost(row: PartitionRow): Boolean {
        val secondaryLost = context.isGone(row.secondary) || row.secondary == context.self
        return row.closed || (context.isGone(row.primary) && secondaryLost)
    }

    private companion object {
        private const val RECORDS_PER_PAGE = 200
    }
}

package org.lycheemount.claims

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.lycheemount.common.RouterIdentity

/** Changes the pair of one partition. The owner holds the partition's lock during each call. */
internal class PairKeeper(
    private val context: ClaimContext,
    private val state: PartitionState,
) {
    private val partition = state.partition

    /**
     * Becomes primary with another secondary, because the other member of the pair does not answer.
     * Returns true when both members of the new pair hold all claims.
     */
    suspend fun replaceOther(): Boolean {
        val before = state.view ?: return false
        if (!state.synced) return false
        val other = if (before.primary == context.self) before.secondary else before.primary
        val secondary = context.chooseSecondary(partition, context.self, setOf(other)) ?: return false
        return change(before, before.unknownUntilMs, secondary) && syncSecondary()
    }

    /**
     * Becomes primary of a partition whose members are all lost. What they had not written is unknown, so keys without
     * a record are refused for a lifetime.
     */
    suspend fun takeOverLost(): Boolean {
        val before = state.view ?: return false
        if (state.synced) return false
        if (!isTakenOver(before)) {
            if (!isLost(before)) return false
            val secondary = context.chooseSecondary(partition, context.self, setOf(before.primary, before.secondary)) ?: return false
            val unknownUntilMs = context.clock.wallClockMs() + context.options.outcomeLifetimeMs
            if (!change(before, unknownUntilMs, secondary)) return false
        }
        // Read after the change, so that no member of the old pair writes an outcome later.
        val recovered = context.outcomes.readAll(partition) ?: return false
        state.install(recovered)
        context.log.warn("claims_taken_over", "partition" to partition, "epoch" to state.view?.epoch, "recovered" to recovered.size)
        return syncSecondary()
    }

    /** Writes the pair again, in a new epoch, when a restored table shows an older one. */
    suspend fun repairRow(): Boolean {
        val before = state.view ?: return false
        if (!state.canDecide) return false
        val found = context.changes.read(partition) ?: return false
        if (found.row == before) return true
        context.log.warn("claim_pair_lost_in_table", "partition" to partition, "epoch" to before.epoch, "found" to found.row?.epoch)
        return change(before, before.unknownUntilMs, before.secondary) && syncSecondary()
    }

    /** Sends all claims to the secondary unless it has them. */
    suspend fun syncSecondary(): Boolean {
        val view = state.view ?: return false
        if (!state.canDecide) return false
        if (state.secondarySynced) return true
        val pages = state.all().chunked(RECORDS_PER_PAGE).ifEmpty { listOf(emptyList()) }
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

    /** Finds the partition's row, or makes the first one. Returns false when the row stays unknown. */
    suspend fun findOrCreate(): Boolean {
        if (state.view != null) return true
        val found = context.changes.read(partition) ?: return adoptFromPeers()
        found.row?.let(state::adopt)
        if (state.view != null || adoptFromPeers()) return true
        val primary = context.choosePrimary(partition)
        val secondary = context.chooseSecondary(partition, primary)
        val row = PartitionRow(partition, FIRST_EPOCH, primary, secondary ?: return false)
        val outcome = context.changes.write(row, found.version)
        if (outcome is PairChangeOutcome.Current) state.adopt(outcome.row)
        return state.view != null
    }

    private suspend fun change(
        before: PartitionRow,
        unknownUntilMs: Long,
        secondary: RouterIdentity,
    ): Boolean {
        // A restored table may show an older epoch than the one that other routers are in.
        adoptFromPeers()
        if (state.view != before) return isNowOurs(before)
        val found = context.changes.read(partition) ?: return false
        if (found.row != null && state.adopt(found.row)) return isNowOurs(before)
        val row = PartitionRow(partition, before.epoch + 1, context.self, secondary, unknownUntilMs)
        // After an unknown outcome the row is read again by the next attempt; until then the old epoch goes on.
        val outcome = context.changes.write(row, found.version)
        if (outcome is PairChangeOutcome.Current) state.adopt(outcome.row)
        return isNowOurs(before)
    }

    /** The new pair may also be that of an earlier attempt whose answer was lost. */
    private fun isNowOurs(before: PartitionRow): Boolean {
        val view = state.view ?: return false
        if (view.epoch <= before.epoch) return false
        context.log.info("claim_pair_changed", "partition" to partition, "epoch" to view.epoch, "primary" to view.primary.routerId.value)
        return view.primary == context.self
    }

    private suspend fun adoptFromPeers(): Boolean {
        val question = ClaimMessage.AskView(partition, state.view)
        val replies =
            coroutineScope {
                context.peers
                    .connectedPeers()
                    .map { peer -> async { context.call(peer.routerId, question) } }
                    .awaitAll()
            }
        replies.filterIsInstance<ClaimReply.Unable>().mapNotNull { it.view }.forEach(state::adopt)
        return state.view != null
    }

    /** Whether this router has written the row of a takeover but has not read the outcomes yet. */
    private fun isTakenOver(row: PartitionRow) = row.primary == context.self && row.unknownUntilMs > 0

    /** Whether no router that holds the claims can still decide: a member counts as lost only on evidence, never by silence. */
    private fun isLost(row: PartitionRow): Boolean {
        val secondaryLost = context.isGone(row.secondary) || row.secondary == context.self
        return context.isGone(row.primary) && secondaryLost
    }

    private companion object {
        private const val RECORDS_PER_PAGE = 200
    }
}

package org.lycheemount.claims

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason

/** A partition on one router, which decides claims as primary, records them as secondary, and otherwise replies with the newest row. */
internal class ClaimPartition(
    private val context: ClaimContext,
    val partition: Int,
) {
    private val lock = Mutex()
    private val state = PartitionState(context.self, partition, context.options.outcomeLifetimeMs)
    private val pairManager = PairManager(context, state)

    /** Newest known row. Safe to read without the lock, because rows are immutable and epochs only increase. */
    val view: PartitionRow? get() = state.view

    /** Returns the row of the partition, and reads or creates it if it is not known yet. */
    suspend fun ensureView(): PartitionRow? = state.view ?: lock.withLock { if (pairManager.findOrCreate()) state.view else null }

    /** Adopts [row] if it is newer than the known one. */
    suspend fun adopt(row: PartitionRow) {
        lock.withLock { state.adopt(row) }
    }

    /** Tries to take over the partition if all of its members are lost. */
    suspend fun takeOverLostPartition(): Boolean = lock.withLock { pairManager.takeOverLostPartition() }

    /** Closes the pair at a graceful shutdown of the primary. */
    suspend fun close() = lock.withLock { pairManager.close() }

    /** Adopts the [row] in the table, null if absent; the primary repairs an older or missing row. */
    suspend fun reconcileWithTable(row: PartitionRow?) {
        lock.withLock {
            row?.let(state::adopt)
            if (state.canDecide && state.view != row) pairManager.repairRow()
        }
    }

    suspend fun onMessage(message: ClaimMessage): ClaimReply {
        val senderView = message.view
        if (senderView != null && senderView.epoch > (state.view?.epoch ?: 0)) adopt(senderView)
        return when (message) {
            is ClaimMessage.Claim -> claim(message)
            is ClaimMessage.Finish -> finish(message)
            is ClaimMessage.Replicate -> lock.withLock { applyReplicate(message) }
            is ClaimMessage.Sync -> lock.withLock { receiveSyncPage(message) }
            is ClaimMessage.GetView -> ClaimReply.Unable(state.view)
        }
    }

    suspend fun claim(message: ClaimMessage.Claim): ClaimReply {
        if (state.isPrimary) return lock.withLock { decide(message.request) }
        if (!state.isSecondary || message.relayed) return unable()
        val primary = state.view?.primary ?: return unable()
        context.call(primary.routerId, message.copy(view = state.view, relayed = true))?.let {
            if (it !is ClaimReply.Unable) return it
            it.view?.let { newerRow -> adopt(newerRow) }
        }
        return lock.withLock {
            if (!state.isPrimary && state.view?.primary == primary) replaceOrTakeOver()
            if (state.canDecide) decide(message.request) else unable()
        }
    }

    suspend fun finish(message: ClaimMessage.Finish): ClaimReply {
        if (state.isPrimary) return lock.withLock { finishAsPrimary(message) }
        if (!state.isSecondary || message.relayed) return unable()
        val primary = state.view?.primary ?: return unable()
        val relayed = ClaimMessage.Finish(partition, state.view, message.request, message.outcome, relayed = true)
        return context.call(primary.routerId, relayed) ?: unable()
    }

    /** Queues the removal of expired outcomes. */
    suspend fun removeExpired() {
        lock.withLock {
            val expired = state.removeExpired(context.clock.wallClockMs())
            if (state.isPrimary) expired.forEach { context.outcomes.remove(partition, it) }
        }
    }

    /** Returns the number of records in memory. */
    suspend fun recordCount(): Int = lock.withLock { state.allRecords().size }

    private suspend fun decide(request: ClaimRequest): ClaimReply {
        if (!state.canDecide && !recover()) return unable()
        return when (val decision = state.decide(request, context.clock.wallClockMs(), context.isGone)) {
            is ClaimDecision.Reply -> decision.reply
            is ClaimDecision.Record -> grantOrRelease(decision)
        }
    }

    /** Resumes a takeover: a primary that cannot decide has not yet read the outcomes of a lost partition. */
    private suspend fun recover(): Boolean {
        if (state.isPrimary) replaceOrTakeOver()
        return state.canDecide
    }

    private suspend fun grantOrRelease(decision: ClaimDecision.Record): ClaimReply {
        val record = decision.record
        if (replicate(record) || (state.isPrimary && pairManager.replaceOtherMember())) return grantIfRecorded()
        val refusal = Refusal(RefusalReason.CLAIM_UNAVAILABLE, "the second router of the pair does not respond", RETRY_AFTER_MS)
        // The claim may have been granted earlier, so the request may be running.
        if (!state.canDecide || !decision.isNew) return unable()
        state.recordOutcome(record.request, RecordedOutcome.NotRun(refusal), context.clock.wallClockMs())
        return ClaimReply.Refused(refusal)
    }

    private fun grantIfRecorded(): ClaimReply = if (state.canDecide && state.secondarySynced) ClaimReply.Granted else unable()

    private suspend fun replicate(record: ClaimRecord): Boolean {
        if (!pairManager.syncSecondary()) return false
        val view = state.view ?: return false
        repeat(REPLICATION_ATTEMPTS) {
            when (val reply = context.call(view.secondary.routerId, ClaimMessage.Replicate(partition, view, record))) {
                is ClaimReply.Done -> return state.view == view
                is ClaimReply.Unable -> return false.also { reply.view?.let(state::adopt) }
                else -> Unit
            }
        }
        return false
    }

    private suspend fun finishAsPrimary(message: ClaimMessage.Finish): ClaimReply {
        if (!state.canDecide && !recover()) return unable()
        val record = state.recordOutcome(message.request, message.outcome, context.clock.wallClockMs()) ?: return ClaimReply.Done
        context.outcomes.add(partition, record)
        // A secondary without the outcome still has the claim, so the request cannot run again.
        replicate(record)
        return ClaimReply.Done
    }

    private fun applyReplicate(message: ClaimMessage.Replicate): ClaimReply {
        if (state.view != message.view || !state.canRecord) return unable()
        state.applyReplicated(message.record)
        return ClaimReply.Done
    }

    private fun receiveSyncPage(message: ClaimMessage.Sync): ClaimReply {
        if (state.view != message.view || !state.isSecondary) return unable()
        val complete = state.receiveSyncPage(message)
        return if (complete || message.page < message.pages - 1) ClaimReply.Done else unable()
    }

    private suspend fun replaceOrTakeOver() {
        if (state.synced) pairManager.replaceOtherMember() else pairManager.takeOverLostPartition()
    }

    private fun unable() = ClaimReply.Unable(state.view)

    private companion object {
        private const val RETRY_AFTER_MS = 2_000L

        /** The pair is not changed because of a single lost message. */
        private const val REPLICATION_ATTEMPTS = 2
    }
}

package org.lycheemount.claims

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason

/** One router's part in one partition: decides as primary, records as secondary, and answers with the newest row otherwise. */
internal class ClaimPartition(
    private val context: ClaimContext,
    val partition: Int,
) {
    private val lock = Mutex()
    private val state = PartitionState(context.self, partition, context.options.outcomeLifetimeMs)
    private val pairManager = PairManager(context, state)

    /** Newest row known; may be read without the lock because rows are immutable and epochs only grow. */
    val view: PartitionRow? get() = state.view

    /** Finds the partition's row when it is not known yet. */
    suspend fun ensureView(): PartitionRow? = state.view ?: lock.withLock { if (pairManager.findOrCreate()) state.view else null }

    /** Takes in a row. */
    suspend fun adopt(row: PartitionRow) {
        lock.withLock { state.adopt(row) }
    }

    /** Tries to take over when all members are lost. */
    suspend fun takeOverLostPartition(): Boolean = lock.withLock { pairManager.takeOverLostPartition() }

    /** Ends the pair at a clean stop of the primary. */
    suspend fun close() = lock.withLock { pairManager.close() }

    /** Takes in the partition's row as the table has it, null when absent; the primary repairs an older one. */
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

    /** Queues the removal of outcomes whose lifetime is over. */
    suspend fun removeExpired() {
        lock.withLock {
            val expired = state.removeExpired(context.clock.wallClockMs())
            if (state.isPrimary) expired.forEach { context.outcomes.remove(partition, it) }
        }
    }

    /** Returns the number of records held. */
    suspend fun recordCount(): Int = lock.withLock { state.allRecords().size }

    private suspend fun decide(request: ClaimRequest): ClaimReply {
        if (!state.canDecide && !recover()) return unable()
        return when (val decision = state.decide(request, context.clock.wallClockMs(), context.isGone)) {
            is ClaimDecision.Answer -> decision.reply
            is ClaimDecision.Record -> grantOrRelease(decision)
        }
    }

    /** A primary that cannot decide has taken over a lost partition and not read its outcomes yet. */
    private suspend fun recover(): Boolean {
        if (state.isPrimary) replaceOrTakeOver()
        return state.canDecide
    }

    private suspend fun grantOrRelease(decision: ClaimDecision.Record): ClaimReply {
        val record = decision.record
        if (replicate(record) || (state.isPrimary && pairManager.replaceOtherMember())) return grantIfRecorded()
        val refusal = Refusal(RefusalReason.CLAIM_UNAVAILABLE, "the second router of the pair does not answer", RETRY_AFTER_MS)
        // A request that may have been granted before can be running.
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
        // A secondary that misses an outcome still has the claim, so the request cannot run again.
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

        /** One lost message is no reason to change the pair. */
        private const val REPLICATION_ATTEMPTS = 2
    }
}

package org.lycheemount.claims

import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RouterIdentity

/** Decision of the primary on a claim. */
internal sealed interface ClaimDecision {
    /** Reply at once. */
    class Reply(
        val reply: ClaimReply,
    ) : ClaimDecision

    /** Grant once the secondary has recorded [record]. [isNew] is false if the request may have been granted before. */
    class Record(
        val record: ClaimRecord,
        val isNew: Boolean,
    ) : ClaimDecision
}

/**
 * State of one partition on one router. Performs no I/O; not thread-safe.
 *
 * Only the primary of the newest epoch creates records, and a claim is granted only after the secondary of the same epoch has
 * recorded it. The next epoch starts with the records of one of the two, which ignores the old epoch from then on. Every granted
 * claim is therefore known in the next epoch.
 */
internal class PartitionState(
    private val self: RouterIdentity,
    val partition: Int,
    private val outcomeLifetimeMs: Long,
) {
    private val records = LinkedHashMap<ClaimKey, ClaimRecord>()
    private val syncPages = HashMap<Int, List<ClaimRecord>>()
    private var syncTransferId: String? = null
    private var lastSequence = 0L

    /** Newest known row. Rows of older epochs, for example from a restored table, are ignored. */
    @Volatile
    var view: PartitionRow? = null
        private set

    /** Whether this member holds all claims of the partition. */
    var synced = false
        private set

    /** Whether the secondary is known to hold all claims; used by the primary. */
    var secondarySynced = false

    val isPrimary: Boolean get() = view?.primary == self
    val isSecondary: Boolean get() = view?.secondary == self
    val canDecide: Boolean get() = isPrimary && synced
    val canRecord: Boolean get() = isSecondary && synced

    /** Adopts a row from the table or a peer. Returns true if it is newer than the known one. */
    fun adopt(row: PartitionRow): Boolean {
        val existing = view
        if (existing != null && row.epoch <= existing.epoch) return false
        val keepsRecords = synced && row.primary == self && !row.recoversFromTable && !row.closed
        val startsEmpty = existing == null && row.epoch == FIRST_EPOCH
        view = row
        synced = (isPrimary || isSecondary) && (keepsRecords || startsEmpty)
        secondarySynced = startsEmpty
        if (!synced) records.clear()
        syncPages.clear()
        return true
    }

    /** Decides a claim at the primary. [isGone] returns whether a router has definitely ended. */
    fun decide(
        request: ClaimRequest,
        nowMs: Long,
        isGone: (RouterIdentity) -> Boolean,
    ): ClaimDecision {
        check(canDecide) { "only a synced primary decides" }
        val existing = currentRecord(request.key, nowMs, isGone)
        val outcome = existing?.outcome
        if (existing == null || (outcome is RecordedOutcome.NotRun && existing.request.requestId != request.requestId)) {
            return if (mayHaveLostRecord(nowMs) && existing == null) unknownOutcome() else addClaim(request, nowMs)
        }
        val reply =
            when {
                isKeyReuse(existing.request, request) -> ClaimReply.Refused(keyReuseRefusal())
                outcome != null -> ClaimReply.Finished(outcome)
                existing.request.requestId == request.requestId -> return ClaimDecision.Record(existing, isNew = false)
                else -> ClaimReply.Running(existing.request.requestId)
            }
        return ClaimDecision.Reply(reply)
    }

    /** Records the outcome of a request at the primary. Returns the record to replicate, or null when nothing changes. */
    fun recordOutcome(
        request: ClaimRequest,
        outcome: RecordedOutcome,
        nowMs: Long,
    ): ClaimRecord? {
        val existing = records[request.key]
        // Even without a record, the release of a claim must block a delayed claim message of the same request.
        val isOpen = existing == null || existing.outcome == null || existing.outcome is RecordedOutcome.Unknown
        if (!isOpen || (existing != null && existing.request.requestId != request.requestId)) return null
        return store(ClaimRecord(existing?.request ?: request, epoch(), ++lastSequence, nowMs, outcome))
    }

    /** Applies a record from the primary of the same epoch. */
    fun applyReplicated(record: ClaimRecord) {
        val existing = records[record.request.key]
        if (existing == null || record.isNewerThan(existing)) records[record.request.key] = record
        if (record.epoch == epoch()) lastSequence = maxOf(lastSequence, record.sequence)
    }

    /** Receives a page of all claims. Returns true when this member is synced. */
    fun receiveSyncPage(page: ClaimMessage.Sync): Boolean {
        if (synced) return true
        if (syncTransferId != page.transferId) {
            syncTransferId = page.transferId
            syncPages.clear()
        }
        syncPages[page.page] = page.records
        if (syncPages.size < page.pages) return false
        loadRecords(syncPages.values.flatten())
        syncPages.clear()
        return true
    }

    /** Replaces all records by [recovered], from the primary, or from the table after all members were lost. */
    fun loadRecords(recovered: List<ClaimRecord>) {
        records.clear()
        recovered.forEach { records[it.request.key] = it }
        synced = true
    }

    /** Stops deciding in this epoch, so that nothing is granted while the row that closes the pair is written. */
    fun stopDeciding() {
        synced = false
    }

    fun allRecords(): List<ClaimRecord> = records.values.toList()

    /** Removes expired outcomes and returns them. Running requests are kept. */
    fun removeExpired(nowMs: Long): List<ClaimRecord> {
        val expired = records.values.filter { it.outcome != null && it.changedAtMs + outcomeLifetimeMs < nowMs }
        expired.forEach { records.remove(it.request.key) }
        return expired
    }

    /** Returns the current record. Its outcome becomes unknown if the holder is gone or has reported none for an outcome lifetime. */
    private fun currentRecord(
        key: ClaimKey,
        nowMs: Long,
        isGone: (RouterIdentity) -> Boolean,
    ): ClaimRecord? {
        val existing = records[key] ?: return null
        if (existing.outcome != null) return existing.takeIf { it.changedAtMs + outcomeLifetimeMs >= nowMs }
        if (existing.changedAtMs + outcomeLifetimeMs >= nowMs && !isGone(existing.request.holder)) return existing
        val refusal =
            Refusal(
                RefusalReason.BACKEND_FAILED,
                "the router that ran request ${existing.request.requestId.value} ended before it responded",
            )
        return store(
            existing.copy(epoch = epoch(), sequence = ++lastSequence, changedAtMs = nowMs, outcome = RecordedOutcome.Unknown(refusal)),
        )
    }

    private fun addClaim(
        request: ClaimRequest,
        nowMs: Long,
    ) = ClaimDecision.Record(store(ClaimRecord(request, epoch(), ++lastSequence, nowMs)), isNew = true)

    private fun store(record: ClaimRecord): ClaimRecord = record.also { records[it.request.key] = it }

    private fun epoch() = view?.epoch ?: 0

    private fun mayHaveLostRecord(nowMs: Long) = nowMs < (view?.unknownUntilMs ?: 0)

    private fun unknownOutcome(): ClaimDecision {
        val refusal = Refusal(RefusalReason.CLAIM_UNAVAILABLE, "the record of earlier requests with this idempotency key may be lost")
        return ClaimDecision.Reply(ClaimReply.Finished(RecordedOutcome.Unknown(refusal)))
    }

    /** The fingerprint is empty if the outcome was recorded after the claim had been lost. */
    private fun isKeyReuse(
        existing: ClaimRequest,
        request: ClaimRequest,
    ) = existing.fingerprint.isNotEmpty() && existing.fingerprint != request.fingerprint

    private fun keyReuseRefusal() = Refusal(RefusalReason.IDEMPOTENCY_CONFLICT, "the idempotency key was used for another request")
}

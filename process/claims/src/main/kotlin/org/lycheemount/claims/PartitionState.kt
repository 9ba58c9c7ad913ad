package org.lycheemount.claims

import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RouterIdentity

/** What the primary does about a claim. */
internal sealed interface ClaimDecision {
    /** Answer at once. */
    class Answer(
        val reply: ClaimReply,
    ) : ClaimDecision

    /** Grant when the secondary has recorded [record]; [isNew] is false when this request may have been granted before. */
    class Record(
        val record: ClaimRecord,
        val isNew: Boolean,
    ) : ClaimDecision
}

/**
 * One router's part in one partition. Pure; the owner makes one call at a time.
 *
 * Only the primary of the newest epoch makes records, and a claim is granted only after the secondary of the same epoch
 * has recorded it. The next epoch begins with the records of one of the two, which ignores the old epoch from then on,
 * so every granted claim is known in the next epoch.
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

    /** Newest row seen; rows of older epochs, as from a restored table, are ignored. */
    @Volatile
    var view: PartitionRow? = null
        private set

    /** Whether this member holds all claims of the partition. */
    var synced = false
        private set

    /** Whether the secondary holds all claims, as far as the primary knows. */
    var secondarySynced = false

    val isPrimary: Boolean get() = view?.primary == self
    val isSecondary: Boolean get() = view?.secondary == self
    val canDecide: Boolean get() = isPrimary && synced
    val canRecord: Boolean get() = isSecondary && synced

    /** Takes in a row from the table or a peer; returns true when it is newer than the one known. */
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

    /** Decides a claim at the primary. [isGone] tells whether a router has certainly ended. */
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
        return ClaimDecision.Answer(reply)
    }

    /** Records the end of a request at the primary; returns the record to replicate, or null when nothing changes. */
    fun recordOutcome(
        request: ClaimRequest,
        outcome: RecordedOutcome,
        nowMs: Long,
    ): ClaimRecord? {
        val existing = records[request.key]
        // Without a record, a release still has to stop a delayed claim of the same request.
        val isOpen = existing == null || existing.outcome == null || existing.outcome is RecordedOutcome.Unknown
        if (!isOpen || (existing != null && existing.request.requestId != request.requestId)) return null
        return store(ClaimRecord(existing?.request ?: request, epoch(), ++lastSequence, nowMs, outcome))
    }

    /** Records what the primary of the same epoch made. */
    fun applyReplicated(record: ClaimRecord) {
        val existing = records[record.request.key]
        if (existing == null || record.isNewerThan(existing)) records[record.request.key] = record
        if (record.epoch == epoch()) lastSequence = maxOf(lastSequence, record.sequence)
    }

    /** Takes in a page of all claims; true when this member is synced. */
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

    /** Starts with [recovered] records: from the primary, or from the table when all members were lost. */
    fun loadRecords(recovered: List<ClaimRecord>) {
        records.clear()
        recovered.forEach { records[it.request.key] = it }
        synced = true
    }

    /** Ends this member's part in the epoch, so that nothing is granted while the row that closes the pair is written. */
    fun stopDeciding() {
        synced = false
    }

    /** Returns all records. */
    fun allRecords(): List<ClaimRecord> = records.values.toList()

    /** Forgets outcomes whose lifetime is over and returns them; running requests stay. */
    fun removeExpired(nowMs: Long): List<ClaimRecord> {
        val expired = records.values.filter { it.outcome != null && it.changedAtMs + outcomeLifetimeMs < nowMs }
        expired.forEach { records.remove(it.request.key) }
        return expired
    }

    /** Returns the record as it stands now: a holder that is gone, or silent for a whole lifetime, leaves it unknown. */
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
                "the router that ran request ${existing.request.requestId.value} ended before it answered",
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
        return ClaimDecision.Answer(ClaimReply.Finished(RecordedOutcome.Unknown(refusal)))
    }

    /** The end of a request whose claim was lost is recorded without a fingerprint. */
    private fun isKeyReuse(
        existing: ClaimRequest,
        request: ClaimRequest,
    ) = existing.fingerprint.isNotEmpty() && existing.fingerprint != request.fingerprint

    private fun keyReuseRefusal() = Refusal(RefusalReason.IDEMPOTENCY_CONFLICT, "the idempotency key was used for another request")
}
